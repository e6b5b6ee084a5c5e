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
final class Confirmations {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final PlatformTimes mTimes;
    private final AtomicReference<State> mState;

    /**
     * What is known.
     *
     * @param confirmedMillis when the platform last held nothing that is unknown here
     * @param readMillis the same, by what this node read itself
     * @param answeredMillis when the platform last answered any node
     * @param returnedMillis when this node learned that it does again, after its last absence
     */
    private record State(
            long confirmedMillis, long readMillis, long answeredMillis, long returnedMillis) {}

    Confirmations(PlatformTimes times, long nowMillis) {
        mTimes = times;
        mState = new AtomicReference<>(new State(nowMillis, nowMillis, nowMillis, NEVER));
    }

    /** Notes that this node read that at that time the platform held nothing that it lacks. */
    void confirmed(long atMillis, long nowMillis) {
        mState.updateAndGet(
                known -> {
                    State heard = withConfirmation(known, atMillis, nowMillis);
                    return new State(
                            heard.confirmedMillis,
                            Math.max(known.readMillis, atMillis),
                            heard.answeredMillis,
                            heard.returnedMillis);
                });
    }

    /** Notes that another node said so, in answer to this one. */
    void heard(long atMillis, long nowMillis) {
        mState.updateAndGet(known -> withConfirmation(known, atMillis, nowMillis));
    }

    /** Notes that at that time the platform answered this node or another. */
    void answered(long atMillis, long nowMillis) {
        mState.updateAndGet(known -> withAnswer(known, atMillis, nowMillis));
    }

    private State withConfirmation(State known, long atMillis, long nowMillis) {
        State answered = withAnswer(known, atMillis, nowMillis);
        return new State(
                Math.max(known.confirmedMillis, atMillis),
                known.readMillis,
                answered.answeredMillis,
                answered.returnedMillis);
    }

    private State withAnswer(State known, long atMillis, long nowMillis) {
        return atMillis <= known.answeredMillis
                ? known
                : new State(
                        known.confirmedMillis,
                        known.readMillis,
                        atMillis,
                        returnedMillis(known, atMillis, nowMillis));
    }

    private long returnedMillis(State known, long answeredMillis, long nowMillis) {
        boolean wasAway = answeredMillis - known.answeredMillis >= mTimes.awayMillis();
        return wasAway ? nowMillis : known.returnedMillis;
    }

    /** Forgets that anything was confirmed: time has passed that no steady clock tells. */
    void forget() {
        mState.updateAndGet(
                known -> new State(NEVER, NEVER, known.answeredMillis, known.returnedMillis));
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    long ageMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().confirmedMillis);
    }

    /** Returns the time since the last confirmation that this node read, in milliseconds. */
    long toldAgeMillis(long nowMillis) {
        return Math.max(0, nowMillis - mState.get().readMillis);
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
    long keepsPlaceUntilMillis(long nowMillis) {
        State known = mState.get();
        long usualMillis =
                Math.min(
                        nowMillis + mTimes.keepMillis(),
                        known.confirmedMillis + mTimes.worksOnMillis());
        return Math.max(
                usualMillis,
                returnedMillis(known, nowMillis, nowMillis) + PlatformTimes.BACK_MILLIS);
    }
}
