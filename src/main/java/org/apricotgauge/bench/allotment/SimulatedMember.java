package org.apricotgauge.bench.allotment;

import org.apricotgauge.model.RateLimit;

/**
 * A member of the simulated fleet.
 *
 * @param usualPerSecond requests that it usually sends a second
 * @param limit its limit
 * @param hotFactor how many times its usual it sends while it is hot; 1 if it never is
 */
record SimulatedMember(double usualPerSecond, RateLimit limit, double hotFactor) {

    /** Returns a member that may send the given part more than it usually does. */
    static SimulatedMember of(double usualPerSecond, double headroom, double hotFactor) {
        double perSecond = usualPerSecond * headroom;
        return new SimulatedMember(usualPerSecond, new RateLimit(perSecond, perSecond), hotFactor);
    }
}
