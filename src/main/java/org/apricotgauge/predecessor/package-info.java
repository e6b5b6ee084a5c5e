/** The split of requests between the fleet and the older routing system during migration. */
package org.apricotgauge.predecessor;
