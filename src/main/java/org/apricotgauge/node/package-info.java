/** The node: one small process that serves callers and guards the targets of its VM. */
package org.apricotgauge.node;
