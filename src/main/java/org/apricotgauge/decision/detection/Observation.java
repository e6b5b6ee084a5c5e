package org.apricotgauge.decision.detection;

import org.apricotgauge.model.Checks;

/**
 * The outcome of one request, as observed by one node.
 *
 * <pre>{@code
 * new Observation("t1", ObservationPoint.GUARD, ObservedOutcome.SUCCESS, 24_000, nowMillis, 0);
 * }</pre>
 *
 * @param targetId the target that the request was sent to
 * @param point where it was observed
 * @param outcome how it ended
 * @param serviceTimeMicros time from the dispatch to the end of the answer, without queueing time;
 *     used for {@link ObservedOutcome#SUCCESS} and {@link ObservedOutcome#UNRESPONSIVE} only
 * @param timeMillis time of the observation, on the observing node's monotonic clock
 * @param keyHash hash of the route and member, or {@link #NO_KEY}
 */
public record Observation(
        String targetId,
        ObservationPoint point,
        ObservedOutcome outcome,
        long serviceTimeMicros,
        long timeMillis,
        long keyHash) {
    /** The key hash of an unknown route and member. */
    public static final long NO_KEY = 0;

    public Observation {
        Checks.notNull("observation.targetId", targetId);
        Checks.notNull("observation.point", point);
        Checks.notNull("observation.outcome", outcome);
        Checks.inRange("observation.serviceTimeMicros", serviceTimeMicros, 0, Long.MAX_VALUE);
    }
}
