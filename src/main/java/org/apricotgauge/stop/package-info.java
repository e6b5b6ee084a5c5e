/** Planned stops: when this node's process ends, when those of its peers end, and what fits. */
package org.apricotgauge.stop;
