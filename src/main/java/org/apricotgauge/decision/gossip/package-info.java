/**
 * The pure state machines of the control plane between nodes: dissemination of the configuration,
 * partial views, liveness, the list of VMs and small gossip items.
 *
 * <p>Nothing here opens a socket, reads a clock or starts a thread: time comes as an argument,
 * randomness is seeded, and messages leave through {@link PeerPort}. One thread at a time may call.
 */
package org.apricotgauge.decision.gossip;
