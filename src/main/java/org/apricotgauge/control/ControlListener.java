package org.apricotgauge.control;

import java.util.Optional;
import org.apricotgauge.decision.gossip.GossipEvent;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.event.HlcTimestamp;

/**
 * Receives state changes of the control plane.
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
 * <p>All calls are made on the control plane's single thread and must not block.
 *
 * @param <H> a folded history
 */
public interface ControlListener<H> {

    /** Called when a later history takes effect. */
    default void onHistory(H history) {}

    /** Called when the view of the VMs changes. */
    default void onView(VmView view) {}

    /** Called when a node announces that its VM or one of its targets is leaving. */
    default void onLeaving(LeavingNotice notice) {}

    /** Called with evidence from another node or from this one. */
    default void onEvidence(GossipItem evidence) {}

    /** Called for each counted event; see {@link GossipEvent#logged()}. */
    default void onEvent(GossipEvent event) {}

    /**
     * Called when a violated invariant has stopped the control plane; the process must stop, too.
     */
    default void onFatalError(RuntimeException failure) {}

    /**
     * Returns the reading of the node's hybrid logical clock to send ahead of a state update, or
     * empty if the node has no clock.
     */
    default Optional<HlcTimestamp> clockReading() {
        return Optional.empty();
    }

    /** Called with the clock reading that precedes a state update. */
    default void onClockReading(HlcTimestamp reading) {}
}
