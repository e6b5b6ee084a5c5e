package org.apricotgauge.decision.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Priority;

/**
 * The requests of one service that wait at an entry, unsent, for a retry.
 *
 * <pre>{@code
 * RetryQueue<Exchange> queue = new RetryQueue<>(new RetryQueue.Bounds(64, 1_000_000));
 * List<RetryQueue.Refusal<Exchange>> refused = queue.enter(place, now);
 * Optional<RetryQueue.Place<Exchange>> next = queue.takeFirst(now);
 * }</pre>
 *
 * <p>They go in the order of their ranks and, within a rank, of their arrivals and deadlines. A
 * request whose turn can't come while its answer is of use is refused when it enters, not when its
 * time has run out. Not thread-safe.
 *
 * @param <T> the request
 */
public final class RetryQueue<T> {
    private static final long RATE_MILLIS = 4_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private static final double LATE_TIME_SHARE = 0.5;

    private final Bounds mBounds;
    private final List<Place<T>> mPlaces = new ArrayList<>();
    private final Deque<Long> mRetriesAtMillis = new ArrayDeque<>();
    private long mOpenedAtMillis;
    private long mBytes;

    /**
     * Bounds of a queue.
     *
     * @param places most requests
     * @param bytes most bytes of their bodies
     */
    public record Bounds(int places, long bytes) {
        /** Validates the components. */
        public Bounds {
            Checks.inRange("places", places, 1, 100_000);
            Checks.inRange("bytes", bytes, 1, Long.MAX_VALUE);
        }
    }

    /**
     * A waiting request.
     *
     * @param enteredMillis when it entered
     * @param fullUseUntilMillis latest start for an answer before the soft deadline
     * @param useUntilMillis latest start for an answer before the deadline
     * @param bytes bytes held for it
     * @param arrival how the request relates to what its caller was told before
     */
    public record Place<T>(
            T request,
            Priority priority,
            long enteredMillis,
            long fullUseUntilMillis,
            long useUntilMillis,
            int bytes,
            ReturnSchedule.Arrival arrival) {
        /** Returns the rank, which falls once an answer can't be in time. */
        public RetryRank rankAt(long nowMillis) {
            return new RetryRank(
                    nowMillis <= fullUseUntilMillis ? RetryRank.Use.FULL : RetryRank.Use.LATE,
                    priority);
        }
    }

    /** Why a request doesn't wait on. */
    public enum Reason {
        /** The queue was full, and the others took precedence. */
        NO_PLACE,
        /** Its turn would come too late. */
        TURN_TOO_LATE,
        /** Its answer would come too late by now. */
        OF_NO_USE
    }

    /** A request that doesn't wait on. */
    public record Refusal<T>(Place<T> place, Reason reason) {}

    /** Creates an empty queue. */
    public RetryQueue(Bounds bounds) {
        mBounds = Checks.notNull("bounds", bounds);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mPlaces.size();
    }

    /** Adds a request; returns those that are refused for it, which may be the request itself. */
    public List<Refusal<T>> enter(Place<T> place, long nowMillis) {
        if (mPlaces.isEmpty()) {
            mOpenedAtMillis = Math.max(place.enteredMillis(), mOpenedAtMillis);
        }
        if (nowMillis >= place.useUntilMillis()) {
            return List.of(new Refusal<>(place, Reason.OF_NO_USE));
        }
        Comparator<Place<T>> order = order(nowMillis);
        long ahead = mPlaces.stream().filter(one -> order.compare(one, place) <= 0).count();
        if (turnComesTooLate(place, (int) ahead, nowMillis)) {
            return List.of(new Refusal<>(place, Reason.TURN_TOO_LATE));
        }
        mPlaces.add(place);
        mBytes += place.bytes();
        List<Refusal<T>> refused = new ArrayList<>();
        while (mPlaces.size() > mBounds.places() || mBytes > mBounds.bytes()) {
            Place<T> last = mPlaces.stream().max(order(nowMillis)).orElseThrow();
            remove(last);
            refused.add(new Refusal<>(last, Reason.NO_PLACE));
        }
        return refused;
    }

    /** Records that a request of the service was sent again, after a wait or at once. */
    public void onRetry(long nowMillis) {
        mRetriesAtMillis.add(nowMillis);
        forgetOldRetries(nowMillis);
    }

    /** Returns how many requests are sent again in a second. */
    public double retriesPerSecond(long nowMillis) {
        forgetOldRetries(nowMillis);
        return mRetriesAtMillis.size() * (double) MILLIS_PER_SECOND / RATE_MILLIS;
    }

    private void forgetOldRetries(long nowMillis) {
        while (!mRetriesAtMillis.isEmpty()
                && nowMillis - mRetriesAtMillis.peekFirst() > RATE_MILLIS) {
            mRetriesAtMillis.pollFirst();
        }
    }

    // While the spell lasts, late requests are passed over by those that can still be in time, so
    // they count on a part of their time only.
    private boolean turnComesTooLate(Place<T> place, int ahead, long nowMillis) {
        long openMillis = Math.min(RATE_MILLIS, nowMillis - mOpenedAtMillis);
        if (openMillis < MILLIS_PER_SECOND) {
            return false;
        }
        forgetOldRetries(nowMillis);
        double turnMillis = ahead * openMillis / Math.max(1.0, mRetriesAtMillis.size());
        return turnMillis > place.fullUseUntilMillis() - nowMillis
                && turnMillis > LATE_TIME_SHARE * (place.useUntilMillis() - nowMillis);
    }

    /** Returns the rank of the first request; empty if none waits. */
    public Optional<RetryRank> firstRank(long nowMillis) {
        return mPlaces.stream().min(order(nowMillis)).map(place -> place.rankAt(nowMillis));
    }

    /** Removes and returns the first request. */
    public Optional<Place<T>> takeFirst(long nowMillis) {
        Optional<Place<T>> first = mPlaces.stream().min(order(nowMillis));
        first.ifPresent(this::remove);
        return first;
    }

    /** Returns the requests, in any order. */
    public List<T> requests() {
        return mPlaces.stream().map(Place::request).toList();
    }

    /** Removes a request that ended by itself; does nothing if it doesn't wait. */
    public void remove(T request) {
        mPlaces.stream()
                .filter(place -> place.request() == request)
                .findFirst()
                .ifPresent(this::remove);
    }

    /** Removes and returns those whose answers are of no use any more, or would come too late. */
    public List<Refusal<T>> expire(long nowMillis) {
        List<Refusal<T>> expired = new ArrayList<>();
        int ahead = 0;
        for (Place<T> place : mPlaces.stream().sorted(order(nowMillis)).toList()) {
            boolean ofNoUse = nowMillis >= place.useUntilMillis();
            if (!ofNoUse && !turnComesTooLate(place, ahead, nowMillis)) {
                ahead++;
                continue;
            }
            remove(place);
            expired.add(new Refusal<>(place, ofNoUse ? Reason.OF_NO_USE : Reason.TURN_TOO_LATE));
        }
        return expired;
    }

    private void remove(Place<T> place) {
        mPlaces.remove(place);
        mBytes -= place.bytes();
    }

    private Comparator<Place<T>> order(long nowMillis) {
        return Comparator.<Place<T>, RetryRank>comparing(place -> place.rankAt(nowMillis))
                .thenComparing(place -> place.arrival().order())
                .thenComparingLong(Place::useUntilMillis)
                .thenComparingLong(Place::enteredMillis);
    }
}
