package org.apricotgauge.stop;

import java.util.function.LongSupplier;

/**
 * Decides how much of a stop's time a process that is busy keeps for its own end.
 *
 * <pre>{@code
 * schedule.keepReserve(StopReserve.of(meter::lagMillis, 5_700));
 * }</pre>
 *
 * <p>From the signal to the begin of a stop, and from its last answers to the closed ports, threads
 * run one after the other; each of them may wait as long as the scheduling lag for a processor.
 */
public final class StopReserve {
    /** Threads from the platform's signal to the begin of the stop. */
    private static final long THREADS_TO_BEGIN = 3;

    /** Threads from the last answers to the closed ports. */
    private static final long THREADS_TO_END = 4;

    /** Lag that the fixed part of the grace time covers, over all these threads. */
    private static final long COVERED_MILLIS = 200;

    /** Share of the stop that may be kept; runs at targets are cut by it. */
    private static final long MAX_SHARE_DIVISOR = 10;

    private StopReserve() {}

    /**
     * Returns the reserve of a stop that begins now, as it is at each moment.
     *
     * @param lagMillis supplies the scheduling lag of the process
     * @param durationMillis time that the stop has in a calm process
     */
    public static LongSupplier of(LongSupplier lagMillis, long durationMillis) {
        long lagAtBeginMillis = lagMillis.getAsLong();
        return () -> millis(lagAtBeginMillis, lagMillis.getAsLong(), durationMillis);
    }

    /**
     * Returns by how much the end of the stop comes earlier, in milliseconds.
     *
     * @param lagAtBeginMillis scheduling lag of the process as the stop began
     * @param lagMillis scheduling lag of the process now
     * @param durationMillis time that the stop has in a calm process
     */
    public static long millis(long lagAtBeginMillis, long lagMillis, long durationMillis) {
        long neededMillis = THREADS_TO_BEGIN * lagAtBeginMillis + THREADS_TO_END * lagMillis;
        long beyondMillis = Math.max(0, neededMillis - COVERED_MILLIS);
        return Math.min(beyondMillis, durationMillis / MAX_SHARE_DIVISOR);
    }
}
