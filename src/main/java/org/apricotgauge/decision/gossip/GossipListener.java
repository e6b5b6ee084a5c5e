package org.apricotgauge.decision.gossip;

/**
 * Receives the changes of a {@link GossipNode}, on the thread that drives the node.
 *
 * @param <H> a folded history
 */
public interface GossipListener<H> {

    /** Called when a later history is in force. */
    void onHistory(H history);

    /** Called when the view of the VMs changed. */
    void onView(VmView view);

    /** Called when a node announced that its VM or one of its targets is leaving. */
    void onLeaving(LeavingNotice notice);

    /** Called when an item of kind {@link GossipItem.Kind#EVIDENCE} was received. */
    void onEvidence(GossipItem item);

    /** Called for each occurrence of an event that is counted. */
    void onEvent(GossipEvent event);
}
