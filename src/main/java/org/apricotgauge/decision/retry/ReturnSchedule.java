package org.apricotgauge.decision.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.model.Priority;

/**
 * Tells refused callers of one service when to come back, one after the other.
 *
 * <pre>{@code
 * long retryAfterMillis = schedule.nextReturnMillis(caller, priority, perSecond, now);
 * ReturnSchedule.Arrival arrival = schedule.onRequest(caller, now);
 * }</pre>
 *
 * <p>Every refusal takes the next free time of a schedule with as many times as requests get a
 * retry. Times of urgent kinds come before those of patient ones that are told later. A caller that
 * comes back at its time or after it has kept its return time, and its next request goes first
 * among its rank. One that comes early has not: it is told its earlier time again and goes last
 * among its rank. It keeps its rank, since another caller that is new may be taken for it.
 *
 * <p>Callers honour a delay only up to a share of the time that they have left; beyond it they come
 * back at once or give up, so none is told a longer one: those for whom no time is free before it
 * are spread over the later half of the delays that they honour. Not thread-safe.
 */
public final class ReturnSchedule {
    /** Longest delay that a caller honours, as a share of the time that it has left. */
    private static final int HONOURED_DIVISOR = 3;

    /** Shorter delays bring the caller back into the state that refused it. */
    private static final long MIN_MILLIS = 100;

    private static final double MIN_PER_SECOND = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_CALLERS = 1_024;
    private static final int MAX_RETURN_TIMES = 8;

    /** Error of a deadline that a caller passes on as time left. */
    private static final long DEADLINE_ERROR_MILLIS = 250;

    /** Clocks differ, and a delay may be told in whole milliseconds. */
    private static final long EARLY_MILLIS = 20;

    /** A return time that was not kept within this time is void. */
    private static final long GRACE_MILLIS = 2_000;

    /** Multiples of it, modulo 1, are spread evenly. */
    private static final double GOLDEN_RATIO = 0.618_033_988_749_895;

    private final double[] mNextFreeMillis = new double[Priority.values().length];
    private final Map<Long, Deque<ReturnTime>> mReturnTimes =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Deque<ReturnTime>> eldest) {
                    return size() > MAX_CALLERS;
                }
            };

    private double mSpread;

    /**
     * A caller's request, which is the same if it is submitted again: callers pass on the time that
     * they have left.
     *
     * @param requestHash hash of the method, the path and the member
     * @param deadlineMillis the caller's deadline
     */
    public record Caller(long requestHash, long deadlineMillis) {
        private boolean isSame(Caller other) {
            return requestHash == other.requestHash
                    && Math.abs(deadlineMillis - other.deadlineMillis) <= DEADLINE_ERROR_MILLIS;
        }
    }

    private record ReturnTime(Caller caller, long atMillis) {}

    /** How a request relates to what its caller was told. */
    public enum Arrival {
        /** The caller was told nothing, or its time has long passed. */
        NEW(1),
        /** The caller came back when it was told to. */
        ON_TIME(0),
        /** The caller came back before that, or is another that can't be told from it. */
        EARLY(2);

        private final int mOrder;

        Arrival(int order) {
            mOrder = order;
        }

        /** Returns the place among the requests of a rank. */
        int order() {
            return mOrder;
        }
    }

    /**
     * Returns how long a refused caller is told to wait.
     *
     * @param turnsPerSecond requests that get a retry
     */
    public long nextReturnMillis(
            Caller caller, Priority priority, double turnsPerSecond, long nowMillis) {
        long longestMillis = Math.max(1, (caller.deadlineMillis() - nowMillis) / HONOURED_DIVISOR);
        Optional<ReturnTime> earlier = find(caller, nowMillis);
        if (earlier.isPresent()) {
            return clamp(earlier.get().atMillis() - nowMillis, longestMillis);
        }
        double free = take(priority, turnsPerSecond, longestMillis, nowMillis);
        long millis = clamp((long) free, longestMillis);
        Deque<ReturnTime> returnTimes =
                mReturnTimes.computeIfAbsent(caller.requestHash(), unused -> new ArrayDeque<>());
        if (returnTimes.size() < MAX_RETURN_TIMES) {
            returnTimes.addLast(new ReturnTime(caller, nowMillis + millis));
        }
        return millis;
    }

    /** Records a request of a caller. */
    public Arrival onRequest(Caller caller, long nowMillis) {
        Optional<ReturnTime> returnTime = find(caller, nowMillis);
        if (returnTime.isEmpty()) {
            return Arrival.NEW;
        }
        if (nowMillis < returnTime.get().atMillis() - EARLY_MILLIS) {
            return Arrival.EARLY;
        }
        mReturnTimes.get(caller.requestHash()).remove(returnTime.get());
        return Arrival.ON_TIME;
    }

    private Optional<ReturnTime> find(Caller caller, long nowMillis) {
        Deque<ReturnTime> returnTimes = mReturnTimes.get(caller.requestHash());
        if (returnTimes == null) {
            return Optional.empty();
        }
        returnTimes.removeIf(one -> nowMillis > one.atMillis() + GRACE_MILLIS);
        if (returnTimes.isEmpty()) {
            mReturnTimes.remove(caller.requestHash());
        }
        return returnTimes.stream().filter(one -> one.caller().isSame(caller)).findFirst();
    }

    private static long clamp(long millis, long longestMillis) {
        return Math.min(longestMillis, Math.max(MIN_MILLIS, millis));
    }

    // A time that an urgent caller takes delays those of the more patient, never the reverse.
    // Nobody
    // comes back for a time beyond the longest delay, so none is taken there.
    private double take(
            Priority priority, double turnsPerSecond, long longestMillis, long nowMillis) {
        double intervalMillis = MILLIS_PER_SECOND / Math.max(MIN_PER_SECOND, turnsPerSecond);
        int own = priority.ordinal();
        double latestMillis = nowMillis + (double) longestMillis;
        double atMillis = Math.max(mNextFreeMillis[own], nowMillis + intervalMillis);
        boolean isFree = atMillis <= latestMillis;
        if (isFree) {
            mNextFreeMillis[own] = atMillis + intervalMillis;
        }
        for (int lower = own + 1; lower < mNextFreeMillis.length; lower++) {
            double delayed = Math.max(mNextFreeMillis[lower], nowMillis) + intervalMillis;
            mNextFreeMillis[lower] =
                    Math.max(mNextFreeMillis[lower], Math.min(delayed, latestMillis));
        }
        return isFree ? atMillis - nowMillis : nextSpreadShare() * longestMillis;
    }

    // Callers refused together must not return together.
    private double nextSpreadShare() {
        mSpread = (mSpread + GOLDEN_RATIO) % 1;
        return 1 - mSpread / 2;
    }
}
