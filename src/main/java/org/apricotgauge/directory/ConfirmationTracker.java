package org.apricotgauge.directory;

import java.util.concurrent.atomic.AtomicReference;

/**
 * When the platform was last known to hold nothing newer than this node knows, and when it was last
 * known to answer anybody.
 *
 * <pre>{@code
 * long atMillis = askedMillis - ageMillis;
 * confirmations.confirmed(atMillis, nowMillis);  // read from the platform or another node
 * confirmations.heard(atMillis, nowMillis);      // told by a guard that knows no more
 * confirmations.answered(atMillis, nowMillis);   // told by a guard that knows more
 * }</pre>
 *
 * <p>Nobody knows how long a message was on its way, and an age does not grow meanwhile. So only
 * answers count, and each as if it had been given when this node asked. What was heard counts for
 * this node alone; it tells others only what it read itself.
 *
 * <p>It also tells when the platform came back, as far as this node can know: when it first
 * answered anybody again after so long that registrations may have run out meanwhile. That this
 * node heard nothing does not make it an absence; its own link may be full. Thread-safe.
 */
final class ConfirmationTracker {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final PlatformTimes mTimes;
    private final AtomicReference<State> mState;

    /**
     * What is known.
     *
     * @param confirmedAtMillis when the platform last held nothing that is unknown here
     * @param readAtMillis the same, by what this node read itself
     * @param answeredAtMillis when the platform last answered any node
     * @param recoveredAtMillis when this node learned that it does again, after its last absence
     */
    private record State(
            long confirmedAtMillis,
            long readAtMillis,
            long answeredAtMillis,
            long recoveredAtMillis) {}

    ConfirmationTracker(PlatformTimes times, long nowMillis) {
        mTimes = times;
        mState = new AtomicReference<>(new State(nowMillis, nowMillis, nowMillis, NEVER));
    }

    /** Notes that this node read that at that time the platform held nothing that it lacks. */
    void recordRead(long atMillis, long nowMillis) {
        mState.updateAndGet(
                known -> {
                    State heard = withConfirmation(known, atMillis, nowMillis);
                    return new State(
                            heard.confirmedAtMillis,
                            Math.max(known.readAtMillis, atMillis),
                            heard.answeredAtMillis,
                            heard.recoveredAtMillis);
                });
    }

    /** Notes that another node said so, in answer to this one. */
    void recordPeerConfirmation(long atMillis, long nowMillis) {
        mState.updateAndGet(known -> withConfirmation(known, atMillis, nowMillis));
    }

    /** Notes that at that time the platform answered this node or another. */
    void recordPlatformAnswer(long atMillis, long nowMillis) {
        mState.updateAndGet(known -> withAnswer(known, atMillis, nowMillis));
    }

    private State withConfirmation(State known, long atMillis, long nowMillis) {
        State answered = withAnswer(known, atMillis, nowMillis);
        return new State(
                Math.max(known.confirmedAtMillis, atMillis),
                known.readAtMillis,
                answered.answeredAtMillis,
                answered.recoveredAtMillis);
    }

    private State withAnswer(State known, long atMillis, long nowMillis) {
        return atMillis <= known.answeredAtMillis
                ? known
                : new State(
                        known.confirmedAtMillis,
                        known.readAtMillis,
                        atMillis,
                        recoveredAtMillis(known, atMillis, nowMillis));
    }

    private long recoveredAtMillis(State known, long answeredMillis, long nowMillis) {
        boolean wasAway = answeredMillis - known.answeredAtMillis >= mTimes.minExpiryOutageMillis();
        return wasAway ? nowMillis : known.recoveredAtMillis;
    }

    /** Forgets that anything was confirmed: time has passed that no steady clock tells. */
    void reset() {
        mState.updateAndGet(
                known -> new State(NEVER, NEVER, known.answeredAtMillis, known.recoveredAtMillis));
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    long ageMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().confirmedAtMillis);
    }

    /** Returns the time since the last confirmation that this node read, in milliseconds. */
    long reportedAgeMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().readAtMillis);
    }

    /**
     * Returns until when a target keeps its place whose registration is now found to have ended
     * without a word.
     *
     * <p>While the platform is there, the registration may have ended right after the last
     * confirmation, and its target takes requests for no longer than {@link
     * PlatformTimes#servesOnMillis} after that. After an absence it may have run out though its
     * target lives; all of a service may be missing then, and callers would be refused until the
     * targets are back.
     */
    long retainUntilMillis(long nowMillis) {
        State known = mState.get();
        long usualMillis =
                Math.min(
                        nowMillis + mTimes.maxRetentionMillis(),
                        known.confirmedAtMillis + mTimes.workWindowMillis());
        return Math.max(
                usualMillis,
                recoveredAtMillis(known, nowMillis, nowMillis)
                        + PlatformTimes.REGISTRATION_RECOVERY_MILLIS);
    }
}
