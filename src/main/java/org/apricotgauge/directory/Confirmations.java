package org.apricotgauge.directory;

import java.util.concurrent.atomic.AtomicReference;

/**
 * When the platform was last known to hold nothing newer than this node knows.
 *
 * <pre>{@code
 * confirmations.confirmed(askedMillis - ageMillis);  // read from the platform or another node
 * confirmations.heard(askedMillis - ageMillis);      // told by a guard that this node sent to
 * }</pre>
 *
 * <p>Nobody knows how long a message was on its way, and an age does not grow meanwhile. So only
 * answers count, and each as if it had been given when this node asked. What was heard counts for
 * this node alone; it tells others only what it read itself.
 *
 * <p>It also tells when the platform came back, as far as this node can know: when the first word
 * of it came after so long without one that registrations may have run out meanwhile. Thread-safe.
 */
final class Confirmations {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final PlatformTimes mTimes;
    private final AtomicReference<State> mState;

    private record State(long confirmedMillis, long readMillis, long returnedMillis) {}

    Confirmations(PlatformTimes times, long nowMillis) {
        mTimes = times;
        mState = new AtomicReference<>(new State(nowMillis, nowMillis, NEVER));
    }

    /** Notes that this node read that at that time the platform held nothing that it lacks. */
    void confirmed(long atMillis) {
        mState.updateAndGet(
                known -> {
                    State heard = withConfirmation(known, atMillis);
                    return new State(
                            heard.confirmedMillis,
                            Math.max(known.readMillis, atMillis),
                            heard.returnedMillis);
                });
    }

    /** Notes that another node said so on a hop. */
    void heard(long atMillis) {
        mState.updateAndGet(known -> withConfirmation(known, atMillis));
    }

    private State withConfirmation(State known, long atMillis) {
        return atMillis <= known.confirmedMillis
                ? known
                : new State(atMillis, known.readMillis, returnedMillis(known, atMillis));
    }

    private long returnedMillis(State known, long atMillis) {
        boolean wasAway = atMillis - known.confirmedMillis >= mTimes.awayMillis();
        return wasAway ? atMillis : known.returnedMillis;
    }

    /** Forgets that anything was confirmed: time has passed that no steady clock tells. */
    void forget() {
        mState.updateAndGet(known -> new State(NEVER, NEVER, known.returnedMillis));
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
        return Math.max(usualMillis, returnedMillis(known, nowMillis) + PlatformTimes.BACK_MILLIS);
    }
}
