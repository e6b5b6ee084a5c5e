/** What is shared with the older routing system while the fleet moves in. */
package org.apricotgauge.predecessor;
