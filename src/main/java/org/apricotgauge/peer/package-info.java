/**
 * Other nodes: the transport of the control protocol, length-prefixed MessagePack over TCP.
 *
 * <p>What the messages mean is decided in {@link org.apricotgauge.decision.gossip}.
 */
package org.apricotgauge.peer;
