package org.apricotgauge.decision.detection;

import org.apricotgauge.model.Checks;

/**
 * One request as it ended, seen by one node.
 *
 * <pre>{@code
 * new Observation("t1", ObservationEnd.GUARD, ObservedOutcome.SUCCESS, 24_000, nowMillis, 0);
 * }</pre>
 *
 * @param targetId the target that was asked
 * @param point where it was seen
 * @param outcome how it ended
 * @param serviceTimeMicros time from the dispatch to the end of the answer, without the wait in a
 *     queue; read for {@link ObservedOutcome#SUCCESS} and {@link ObservedOutcome#UNRESPONSIVE} only
 * @param timeMillis when it ended, on the observing node's monotonic clock
 * @param keyHash hash of the route and member, or {@link #NO_KEY}
 */
public record Observation(
        String targetId,
        ObservationPoint point,
        ObservedOutcome outcome,
        long serviceTimeMicros,
        long timeMillis,
        long keyHash) {
    /** Stands for an unknown route and member. */
    public static final long NO_KEY = 0;

    /** Checks the parts. */
    public Observation {
        Checks.notNull("observation.targetId", targetId);
        Checks.notNull("observation.end", point);
        Checks.notNull("observation.outcome", outcome);
        Checks.inRange("observation.serviceTimeMicros", serviceTimeMicros, 0, Long.MAX_VALUE);
    }
}
