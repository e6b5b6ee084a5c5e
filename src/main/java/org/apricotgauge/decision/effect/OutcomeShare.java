package org.apricotgauge.decision.effect;

import org.apricotgauge.model.Checks;

/**
 * The number of requests, and how many of them had a bad outcome.
 *
 * @param bad requests that did not get the requested answer
 * @param requests all requests
 */
public record OutcomeShare(long bad, long requests) {

    /** Validates the components. */
    public OutcomeShare {
        Checks.inRange("requests", requests, 0, Long.MAX_VALUE);
        Checks.inRange("bad", bad, 0, requests);
    }

    /** Returns the sum of both. */
    public OutcomeShare plus(OutcomeShare other) {
        return new OutcomeShare(bad + other.bad, requests + other.requests);
    }

    /** Returns the share of bad outcomes, from 0 to 1; 0 if there were no requests. */
    public double share() {
        return requests == 0 ? 0 : (double) bad / requests;
    }
}
