package org.apricotgauge.decision.gossip;

/**
 * Is told what changed, on the thread that drives the node.
 *
 * @param <H> a folded history
 */
public interface GossipListener<H> {

    /** A later history is in force. */
    void onHistory(H history);

    /** What is known of the VMs changed. */
    void onView(VmView view);

    /** A node told that it or a target is leaving. */
    void onLeaving(LeavingNotice notice);

    /** A piece of evidence came in; see {@link GossipItem.Kind#EVIDENCE}. */
    void onEvidence(GossipItem item);

    /** Something happened that is counted. */
    void onEvent(GossipEvent event);
}
