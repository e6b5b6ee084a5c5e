package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Estimates a guard's clock from the last stamp received; addresses attempts to that guard.
 *
 * <pre>{@code
 * GuardClockEstimate clock = new GuardClockEstimate(stamp, ticker.millis());
 * Attempt attempt = clock.newAttempt(ids.next(), ticker.millis(), deadlineMillis);
 * }</pre>
 *
 * <p>The estimate lags by at most the transit time of the stamp, so an attempt expires at the guard
 * slightly early rather than late. Safety does not depend on it: the guard compares the attempt's
 * latest start only with its own clock.
 *
 * @param stamp last stamp received from the guard
 * @param receivedAtMillis the entry's own clock when the stamp arrived
 */
public record GuardClockEstimate(GuardStamp stamp, long receivedAtMillis) {
    // A guard refuses an attempt whose latest start is further ahead of its clock than this. The
    // estimate lags behind that clock, so the estimate plus this bound is accepted.
    private static final long MAX_LIFETIME_MILLIS = AttemptLimits.DEFAULT.maxLifetimeMillis();

    public GuardClockEstimate {
        Checks.notNull("stamp", stamp);
    }

    /**
     * Returns an attempt addressed to the guard's current incarnation.
     *
     * @param id identifier of the attempt, used on one connection only
     * @param nowMillis the entry's clock
     * @param deadlineMillis the request's deadline by the entry's clock; the time left to start is
     *     capped at {@link AttemptLimits#maxLifetimeMillis}, the time left to answer is not
     */
    public Attempt newAttempt(AttemptId id, long nowMillis, long deadlineMillis) {
        long guardNowMillis = stamp.guardMillis() + (nowMillis - receivedAtMillis);
        long remainingMillis = Math.max(0, deadlineMillis - nowMillis);
        long latestStartMillis = guardNowMillis + Math.min(remainingMillis, MAX_LIFETIME_MILLIS);
        return new Attempt(id, stamp.incarnation(), latestStartMillis);
    }

    /** Returns the later of two estimates; a stamp that arrives out of order changes nothing. */
    public GuardClockEstimate merge(GuardClockEstimate other) {
        if (stamp.incarnation() == other.stamp.incarnation()) {
            return other.stamp.guardMillis() > stamp.guardMillis() ? other : this;
        }
        return other.receivedAtMillis >= receivedAtMillis ? other : this;
    }
}
