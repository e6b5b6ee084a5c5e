/**
 * The control plane of one node: what a node uses to hear of configuration, VMs and evidence.
 *
 * <p>Joins the platform ({@link org.apricotgauge.platform}) and the other nodes ({@link
 * org.apricotgauge.peer}) to the state machine in {@link org.apricotgauge.decision.gossip}.
 */
package org.apricotgauge.control;
