package org.apricotgauge.control;

import java.util.Optional;
import org.apricotgauge.decision.gossip.GossipEvent;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.event.HlcTimestamp;

/**
 * Is told by the control plane what changed; all calls come on its one thread and must not block.
 *
 * <pre>{@code
 * ControlListener<ConfigHistory> listener =
 *         new ControlListener<>() {
 *             @Override
 *             public void onHistory(ConfigHistory history) {
 *                 router.swap(RoutingTable.of(history.configuration()));
 *             }
 *         };
 * }</pre>
 *
 * @param <H> a folded history
 */
public interface ControlListener<H> {

    /** A later history is in force. */
    default void onHistory(H history) {}

    /** What is known of the VMs changed. */
    default void onView(VmView view) {}

    /** A node told that it or a target is leaving. */
    default void onLeaving(LeavingNotice notice) {}

    /** Evidence came from another node, or from this one. */
    default void onEvidence(GossipItem evidence) {}

    /** Something happened that is counted; see {@link GossipEvent#logged()}. */
    default void onEvent(GossipEvent event) {}

    /** An invariant broke and the control plane has ended; the process must end, too. */
    default void onFatalError(RuntimeException failure) {}

    /**
     * Returns a reading of the node's hybrid logical clock to send ahead of news, if it has one.
     */
    default Optional<HlcTimestamp> clockReading() {
        return Optional.empty();
    }

    /** Takes in the reading that came ahead of news. */
    default void onClockReading(HlcTimestamp reading) {}
}
