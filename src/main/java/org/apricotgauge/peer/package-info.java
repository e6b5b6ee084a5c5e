/**
 * The transport of the control protocol between nodes: length-prefixed MessagePack over TCP.
 *
 * <p>The messages are handled in {@link org.apricotgauge.decision.gossip}.
 */
package org.apricotgauge.peer;
