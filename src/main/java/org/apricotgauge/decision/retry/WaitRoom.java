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
 * WaitRoom<Exchange> room = new WaitRoom<>(new WaitRoom.Bounds(64, 1_000_000));
 * List<WaitRoom.Refusal<Exchange>> refused = room.enter(place, now);
 * Optional<WaitRoom.Place<Exchange>> next = room.takeFirst(now);
 * }</pre>
 *
 * <p>They go in the order of their ranks and, within a rank, of their deadlines. A request whose
 * turn can't come while its answer is of use is refused when it enters, not when its time has run
 * out. Not thread-safe.
 *
 * @param <T> the request
 */
public final class WaitRoom<T> {
    private static final long RATE_MILLIS = 4_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** A spell that ends lets more go than its first seconds do; waits are refused beyond that. */
    private static final double OUTLOOK_TOLERANCE = 2;

    private final Bounds mBounds;
    private final List<Place<T>> mPlaces = new ArrayList<>();
    private final Deque<Long> mTakenAtMillis = new ArrayDeque<>();
    private long mOpenedAtMillis;
    private long mBytes;

    /**
     * Bounds of a room.
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
            if (arrival == ReturnSchedule.Arrival.EARLY) {
                return RetryRank.LAST;
            }
            return new RetryRank(
                    nowMillis <= fullUseUntilMillis ? RetryRank.Use.FULL : RetryRank.Use.LATE,
                    priority);
        }
    }

    /** Why a request doesn't wait on. */
    public enum Reason {
        /** The room was full, and the others took precedence. */
        NO_PLACE,
        /** Its turn would come too late. */
        TURN_TOO_LATE,
        /** Its answer would come too late by now. */
        OF_NO_USE
    }

    /** A request that doesn't wait on. */
    public record Refusal<T>(Place<T> place, Reason reason) {}

    /** Creates an empty room. */
    public WaitRoom(Bounds bounds) {
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
            mTakenAtMillis.clear();
        }
        if (nowMillis >= place.useUntilMillis()) {
            return List.of(new Refusal<>(place, Reason.OF_NO_USE));
        }
        if (turnComesTooLate(place, nowMillis)) {
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

    private boolean turnComesTooLate(Place<T> place, long nowMillis) {
        long openMillis = Math.min(RATE_MILLIS, nowMillis - mOpenedAtMillis);
        if (openMillis < MILLIS_PER_SECOND) {
            return false;
        }
        mTakenAtMillis.removeIf(at -> nowMillis - at > RATE_MILLIS);
        Comparator<Place<T>> order = order(nowMillis);
        long ahead = mPlaces.stream().filter(one -> order.compare(one, place) <= 0).count();
        double perMilli = Math.max(1.0, mTakenAtMillis.size()) / openMillis;
        return ahead / perMilli > OUTLOOK_TOLERANCE * (place.useUntilMillis() - nowMillis);
    }

    /** Returns how many requests a second get their turn. */
    public double turnsPerSecond(long nowMillis) {
        mTakenAtMillis.removeIf(at -> nowMillis - at > RATE_MILLIS);
        return mTakenAtMillis.size() * (double) MILLIS_PER_SECOND / RATE_MILLIS;
    }

    /** Returns the rank of the first request; empty if none waits. */
    public Optional<RetryRank> firstRank(long nowMillis) {
        return mPlaces.stream().min(order(nowMillis)).map(place -> place.rankAt(nowMillis));
    }

    /** Removes and returns the first request. */
    public Optional<Place<T>> takeFirst(long nowMillis) {
        Optional<Place<T>> first = mPlaces.stream().min(order(nowMillis));
        first.ifPresent(
                place -> {
                    remove(place);
                    mTakenAtMillis.add(nowMillis);
                });
        return first;
    }

    /** Takes back a turn, since there was no retry for the request. */
    public void undoTurn() {
        mTakenAtMillis.pollLast();
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

    /** Removes and returns those whose answers are of no use any more. */
    public List<Refusal<T>> expire(long nowMillis) {
        List<Refusal<T>> expired = new ArrayList<>();
        for (Place<T> place : List.copyOf(mPlaces)) {
            if (nowMillis >= place.useUntilMillis()) {
                remove(place);
                expired.add(new Refusal<>(place, Reason.OF_NO_USE));
            }
        }
        return expired;
    }

    private void remove(Place<T> place) {
        mPlaces.remove(place);
        mBytes -= place.bytes();
    }

    private Comparator<Place<T>> order(long nowMillis) {
        return Comparator.<Place<T>, RetryRank>comparing(place -> place.rankAt(nowMillis))
                .thenComparing(place -> place.arrival() != ReturnSchedule.Arrival.ON_TIME)
                .thenComparingLong(Place::useUntilMillis)
                .thenComparingLong(Place::enteredMillis);
    }
}
