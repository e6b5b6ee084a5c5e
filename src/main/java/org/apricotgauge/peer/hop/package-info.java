/** The HTTP hop between two nodes, as the entry sees it: stamps, attempts and fences. */
package org.apricotgauge.peer.hop;
