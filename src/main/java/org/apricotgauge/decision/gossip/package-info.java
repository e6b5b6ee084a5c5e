/**
 * The state machines of the gossip protocol between nodes: dissemination of the configuration log,
 * partial views, failure detection, synchronization of the VM list and small gossip items.
 *
 * <p>No class here opens a socket, reads a clock or starts a thread: time is passed as an argument,
 * randomness is seeded, and messages are sent through {@link PeerTransport}. Only one thread at a
 * time may call.
 */
package org.apricotgauge.decision.gossip;
