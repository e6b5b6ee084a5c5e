/** The HTTP hop between two nodes on the entry's side: stamps, attempts and fences. */
package org.apricotgauge.peer.hop;
