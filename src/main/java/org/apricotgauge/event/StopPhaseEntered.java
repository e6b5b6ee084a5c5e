package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A planned stop of the node went on by a step.
 *
 * @param phase the step
 * @param requestsInFlight requests in flight at that moment
 * @param remainingMillis time until the node ends at the latest; null from earlier releases
 */
public record StopPhaseEntered(StopPhase phase, int requestsInFlight, Long remainingMillis)
        implements EventBody {

    /** Checks the parts. */
    public StopPhaseEntered {
        Checks.notNull("phase", phase);
        Checks.inRange("requestsInFlight", requestsInFlight, 0, Integer.MAX_VALUE);
    }
}
