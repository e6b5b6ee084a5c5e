package org.apricotgauge.stop;

/**
 * Decides whether a request fits the time that a stopping node has left.
 *
 * <pre>{@code
 * if (StopPolicy.fits(runMillis, deadlineMillis, idempotent, stop.remainingMillis())) { ... }
 * }</pre>
 *
 * <p>The end of the process cuts a run that is still going on. An idempotent request can be sent to
 * another target then, so a likely end suffices; any other one is started only if its deadline
 * comes first.
 */
public final class StopPolicy {
    /** A run takes longer than this multiple of the time after which it is overdue only rarely. */
    private static final long OVERDUE_FACTOR = 2;

    private StopPolicy() {}

    /**
     * Returns whether a request may start.
     *
     * @param overdueMillis time after which a run of its kind is overdue, in milliseconds
     * @param deadlineMillis time left to its deadline, in milliseconds
     * @param idempotent whether it may be sent to another target if it is cut
     * @param stopMillis time left to the node's end; {@link StopSchedule#NOT_STOPPING} if none
     */
    public static boolean fits(
            long overdueMillis, long deadlineMillis, boolean idempotent, long stopMillis) {
        if (deadlineMillis <= stopMillis) {
            return true;
        }
        return idempotent && overdueMillis <= stopMillis / OVERDUE_FACTOR;
    }
}
