package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * The last stamp that an entry heard from a guard, and when; addresses attempts to that guard.
 *
 * <pre>{@code
 * GuardSighting sighting = new GuardSighting(stamp, ticker.millis());
 * Attempt attempt = sighting.address(ids.next(), ticker.millis(), deadlineMillis);
 * }</pre>
 *
 * <p>The estimate of the guard's clock lags by at most the way of the stamp, so that an attempt
 * expires at the guard a little early rather than late. Safety does not rest on it: the guard
 * compares only its own clock with the number in the attempt.
 *
 * @param stamp what the guard said
 * @param receivedAtMillis the entry's own clock when the stamp arrived
 */
public record GuardClockEstimate(GuardStamp stamp, long receivedAtMillis) {
    // A guard refuses what may start later than it remembers; its clock reads more than estimated.
    private static final long MAX_LIFETIME_MILLIS = AttemptLimits.DEFAULT.maxLifetimeMillis();

    /** Checks the stamp. */
    public GuardClockEstimate {
        Checks.notNull("stamp", stamp);
    }

    /**
     * Returns the attempt addressed to the guard's present incarnation.
     *
     * @param id identifier of the attempt, used on one connection only
     * @param nowMillis the entry's clock
     * @param deadlineMillis the request's deadline by the entry's clock; a longer time than {@link
     *     AttemptLimits#maxLifetimeMillis} is cut to that for the start, not for the answer
     */
    public Attempt newAttempt(AttemptId id, long nowMillis, long deadlineMillis) {
        long guardNowMillis = stamp.guardMillis() + (nowMillis - receivedAtMillis);
        long leftMillis = Math.max(0, deadlineMillis - nowMillis);
        long latestStartMillis = guardNowMillis + Math.min(leftMillis, MAX_LIFETIME_MILLIS);
        return new Attempt(id, stamp.incarnation(), latestStartMillis);
    }

    /** Returns the later of two sightings; a stamp that arrives out of order changes nothing. */
    public GuardClockEstimate merge(GuardClockEstimate other) {
        if (stamp.incarnation() == other.stamp.incarnation()) {
            return other.stamp.guardMillis() > stamp.guardMillis() ? other : this;
        }
        return other.receivedAtMillis >= receivedAtMillis ? other : this;
    }
}
