/** The targets of a node's own VM: slots, queue, and the last hop of a request. */
package org.apricotgauge.target;
