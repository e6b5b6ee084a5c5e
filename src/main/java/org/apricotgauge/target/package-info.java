/** The guard of a VM's own targets: admission to their slots and the last hop of a request. */
package org.apricotgauge.target;
