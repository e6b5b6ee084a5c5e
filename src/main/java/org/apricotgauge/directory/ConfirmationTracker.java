package org.apricotgauge.directory;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Tracks when the platform was last known to hold nothing newer than this node has, and when it was
 * last known to answer any node.
 *
 * <pre>{@code
 * long atMillis = requestedAtMillis - ageMillis;
 * tracker.recordRead(atMillis, nowMillis);              // read from the platform or a node
 * tracker.recordPeerConfirmation(atMillis, nowMillis);  // reported by a guard, nothing newer
 * tracker.recordPlatformAnswer(atMillis, nowMillis);    // reported by a guard that is ahead
 * }</pre>
 *
 * <p>The transit time of a message is unknown, and a reported age does not grow in transit. So only
 * answers are recorded, each as if it had been given when this node sent its request. A peer's
 * confirmation counts for this node alone; it reports to others only what it read itself.
 *
 * <p>Also determines when the platform recovered from an outage, as far as this node can know: when
 * it first answered any node again after so long that registrations may have expired meanwhile, or
 * when this node first read a store that was restored from a copy, which may lack registrations.
 * That this node received nothing is no evidence of an outage, as its own link may be saturated.
 * Thread-safe.
 */
final class ConfirmationTracker {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final PlatformTimes mTimes;
    private final AtomicReference<State> mState;

    /**
     * The times recorded so far.
     *
     * @param confirmedAtMillis when the platform was last known to hold nothing that this node
     *     lacks
     * @param readAtMillis the same, only from reads of this node
     * @param answeredAtMillis when the platform last answered any node
     * @param recoveredAtMillis when this node detected the end of the platform's last outage
     * @param wasRead whether anything was read since the start, which counts as a read until then
     */
    private record State(
            long confirmedAtMillis,
            long readAtMillis,
            long answeredAtMillis,
            long recoveredAtMillis,
            boolean wasRead) {}

    ConfirmationTracker(PlatformTimes times, long nowMillis) {
        mTimes = times;
        mState = new AtomicReference<>(new State(nowMillis, nowMillis, nowMillis, NEVER, false));
    }

    /** Records a read; it shows that the platform then held nothing that this node lacks. */
    void recordRead(long atMillis, long nowMillis) {
        mState.updateAndGet(
                state -> {
                    State updated = withConfirmation(state, atMillis, nowMillis);
                    return new State(
                            state.wasRead ? updated.confirmedAtMillis : atMillis,
                            state.wasRead ? Math.max(state.readAtMillis, atMillis) : atMillis,
                            updated.answeredAtMillis,
                            updated.recoveredAtMillis,
                            true);
                });
    }

    /** Records another node's answer that the platform then held nothing that this node lacks. */
    void recordPeerConfirmation(long atMillis, long nowMillis) {
        mState.updateAndGet(state -> withConfirmation(state, atMillis, nowMillis));
    }

    /** Records that the platform answered this node or another at that time. */
    void recordPlatformAnswer(long atMillis, long nowMillis) {
        mState.updateAndGet(state -> withAnswer(state, atMillis, nowMillis));
    }

    private State withConfirmation(State state, long atMillis, long nowMillis) {
        State answered = withAnswer(state, atMillis, nowMillis);
        return new State(
                Math.max(state.confirmedAtMillis, atMillis),
                state.readAtMillis,
                answered.answeredAtMillis,
                answered.recoveredAtMillis,
                state.wasRead);
    }

    private State withAnswer(State state, long atMillis, long nowMillis) {
        return atMillis <= state.answeredAtMillis
                ? state
                : new State(
                        state.confirmedAtMillis,
                        state.readAtMillis,
                        atMillis,
                        recoveredAtMillis(state, atMillis, nowMillis),
                        state.wasRead);
    }

    private long recoveredAtMillis(State state, long answeredAtMillis, long nowMillis) {
        boolean wasUnavailable =
                answeredAtMillis - state.answeredAtMillis >= mTimes.minExpiryOutageMillis();
        return wasUnavailable ? nowMillis : state.recoveredAtMillis;
    }

    /** Records that the platform's store was restored from a copy, as this node has just read. */
    void recordRestore(long nowMillis) {
        mState.updateAndGet(
                state ->
                        new State(
                                state.confirmedAtMillis,
                                state.readAtMillis,
                                state.answeredAtMillis,
                                nowMillis,
                                state.wasRead));
    }

    /**
     * Discards all confirmations: of an unknown era, or before a pause, which the monotonic clock
     * may not have counted.
     */
    void reset() {
        mState.updateAndGet(
                state ->
                        new State(
                                NEVER,
                                NEVER,
                                state.answeredAtMillis,
                                state.recoveredAtMillis,
                                state.wasRead));
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    long ageMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().confirmedAtMillis);
    }

    /** Returns the age to report to other nodes: since the last read, in milliseconds. */
    long reportedAgeMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().readAtMillis);
    }

    /**
     * Returns until when to retain a target whose registration is now found to have ended without a
     * leaving notice.
     *
     * <p>While the platform is available, the registration may have ended right after the last
     * confirmation, and its target accepts requests for no longer than {@link
     * PlatformTimes#servesOnMillis} after that. After an outage the registration may have expired
     * although its target is alive; all targets of a service may be missing then, and its callers
     * would be refused until the targets register again.
     */
    long retainUntilMillis(long nowMillis) {
        State state = mState.get();
        long retainedUntilMillis =
                Math.min(
                        nowMillis + mTimes.maxRetentionMillis(),
                        state.confirmedAtMillis + mTimes.workWindowMillis());
        return Math.max(
                retainedUntilMillis,
                recoveredAtMillis(state, nowMillis, nowMillis)
                        + PlatformTimes.REGISTRATION_RECOVERY_MILLIS);
    }
}
