/** Typed events of a node, ordered over the fleet by a hybrid logical clock, in a bounded ring. */
package org.apricotgauge.event;
