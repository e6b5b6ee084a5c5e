package org.apricotgauge.caller;

import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.model.Target;

/** Hears how each attempt ended as the entry saw it, the path included. */
@FunctionalInterface
public interface EntryObserver {

    /**
     * Called once for each attempt; on request threads.
     *
     * @param target the target it was meant for
     * @param outcome how it ended
     * @param totalMicros time from sending it to the head of the answer, in microseconds
     */
    void observed(Target target, ObservedOutcome outcome, long totalMicros);
}
