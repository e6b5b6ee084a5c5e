/**
 * The control plane of one node, which distributes configuration, the list of VMs and evidence.
 *
 * <p>Connects the platform ({@link org.apricotgauge.platform}) and the other nodes ({@link
 * org.apricotgauge.peer}) to the state machine in {@link org.apricotgauge.decision.gossip}.
 */
package org.apricotgauge.control;
