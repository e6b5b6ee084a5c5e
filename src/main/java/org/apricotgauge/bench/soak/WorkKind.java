package org.apricotgauge.bench.soak;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.apricotgauge.bench.soak.SoakCaller.Habit;

/** What callers send, how they send it, and the timeout of its routes. */
public enum WorkKind {
    /** Short runs and runs of several seconds, far below the routes' timeout. */
    MIXED(
            8_000,
            List.of(Habit.STEADY, Habit.PIPELINED, Habit.SLOW, Habit.FRESH),
            List.of(Series.values()).subList(0, Series.VARIED.ordinal() + 1)) {
        @Override
        PlannedRequest draw(List<String> services, SplittableRandom random) {
            boolean isLong = chance(random, SHARE_LONG);
            int runMillis =
                    isLong
                            ? random.nextInt(LONG_MIN_MILLIS, LONG_MAX_MILLIS + 1)
                            : random.nextInt(SHORT_MIN_MILLIS, SHORT_MAX_MILLIS + 1);
            int pauseMillis = chance(random, SHARE_PAUSED) ? random.nextInt(runMillis / 2) : 0;
            return new PlannedRequest(
                    id(random),
                    services.get(random.nextInt(services.size())),
                    chance(random, SHARE_IDEMPOTENT),
                    timeoutMillis(),
                    runMillis,
                    pauseMillis,
                    chance(random, SHARE_LARGE)
                            ? LARGE_BYTES
                            : random.nextInt(MIN_BYTES, MAX_BYTES + 1),
                    chance(random, SHARE_CHUNKED) ? Framing.CHUNKED : Framing.LENGTH,
                    requestBytes(random));
        }
    },

    /** Runs that last up to the routes' timeout, and a few beyond it. */
    SHORT_DEADLINE(
            3_000,
            List.of(Habit.POOLED, Habit.POOLED, Habit.POOLED, Habit.PIPELINED, Habit.SLOW),
            List.of(Series.values())) {
        @Override
        PlannedRequest draw(List<String> services, SplittableRandom random) {
            int runMillis = RUN_MILLIS.draw(random);
            int pauseMillis = chance(random, SHARE_PAUSED) ? random.nextInt(runMillis / 2) : 0;
            Framing[] framings = Framing.values();
            return new PlannedRequest(
                    id(random),
                    services.get(random.nextInt(services.size())),
                    chance(random, SHARE_IDEMPOTENT),
                    timeoutMillis(),
                    runMillis,
                    pauseMillis,
                    ANSWER_BYTES.draw(random),
                    framings[random.nextInt(framings.length)],
                    requestBytes(random));
        }
    };

    private static final double SHARE_LONG = 0.4;
    private static final double SHARE_IDEMPOTENT = 0.5;
    private static final double SHARE_PAUSED = 0.5;
    private static final double SHARE_LARGE = 0.05;
    private static final double SHARE_CHUNKED = 0.25;
    private static final double SHARE_WITH_BODY = 0.2;
    private static final int SHORT_MIN_MILLIS = 20;
    private static final int SHORT_MAX_MILLIS = 420;
    private static final int LONG_MIN_MILLIS = 1_500;
    private static final int LONG_MAX_MILLIS = 6_000;
    private static final int MIN_BYTES = 200;
    private static final int MAX_BYTES = 30_000;
    private static final int LARGE_BYTES = 300_000;
    private static final LongTail RUN_MILLIS = new LongTail(20, 600, 3_600, 1);
    private static final LongTail ANSWER_BYTES = new LongTail(2_000, 6_000, MAX_BYTES, 1);

    private final int mTimeoutMillis;
    private final List<Habit> mHabits;
    private final List<Series> mSeries;

    WorkKind(int timeoutMillis, List<Habit> habits, List<Series> series) {
        mTimeoutMillis = timeoutMillis;
        mHabits = habits;
        mSeries = series;
    }

    /** Draws a request; the same seed draws the same requests. */
    abstract PlannedRequest draw(List<String> services, SplittableRandom random);

    /** Returns the timeout of the routes, which callers also ask for. */
    int timeoutMillis() {
        return mTimeoutMillis;
    }

    /** Returns the habits, which the callers of a node have in turn. */
    List<Habit> habits() {
        return mHabits;
    }

    /** Returns the series of which one is drawn if none is set. */
    List<Series> series() {
        return mSeries;
    }

    private static String id(SplittableRandom random) {
        return String.format(Locale.ROOT, "%016x", random.nextLong());
    }

    private static int requestBytes(SplittableRandom random) {
        return chance(random, SHARE_WITH_BODY) ? random.nextInt(1, MAX_BYTES + 1) : 0;
    }

    private static boolean chance(SplittableRandom random, double share) {
        return random.nextDouble() < share;
    }
}
