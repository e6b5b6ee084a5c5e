package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A planned stop of the node went on by a step.
 *
 * @param phase the step
 * @param requestsInFlight requests in flight at that moment
 */
public record StopPhaseEntered(StopPhase phase, int requestsInFlight) implements EventBody {

    /** Checks the parts. */
    public StopPhaseEntered {
        Checks.notNull("phase", phase);
        Checks.inRange("requestsInFlight", requestsInFlight, 0, Integer.MAX_VALUE);
    }
}
