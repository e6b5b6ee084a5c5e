package org.apricotgauge.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.management.ThreadMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;

/**
 * Measures the fold: one patch at several sizes, and the memory of the configuration.
 *
 * <pre>{@code
 * bin/measure-fold
 * }</pre>
 */
public final class MeasureFold {
    private static final int[] DIVISORS = {64, 16, 4, 1};
    private static final int WARM_UP = 20_000;
    private static final int MEASURED = 20_000;
    private static final int GC_ROUNDS = 4;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    private final PrintStream mOut;

    private MeasureFold(PrintStream out) {
        mOut = out;
    }

    /** Runs all measurements and prints them. */
    public static void main(String[] args) {
        new MeasureFold(System.out).onePatchAtSeveralSizes();
    }

    private void onePatchAtSeveralSizes() {
        mOut.printf(
                "One patch (mean of %,d after %,d to warm up), and the configuration's memory%n",
                MEASURED, WARM_UP);
        mOut.printf(
                "%10s %10s %10s %10s %10s %12s %10s%n",
                "entities", "median us", "p99 us", "mean us", "body B", "allocated B", "heap MB");
        // The first size is measured twice: the first run brings the code to its final speed.
        onePatch(SyntheticSize.FULL.dividedBy(DIVISORS[0]), false);
        for (int divisor : DIVISORS) {
            onePatch(SyntheticSize.FULL.dividedBy(divisor), true);
        }
    }

    private void onePatch(SyntheticSize size, boolean print) {
        SyntheticPatches patches = new SyntheticPatches(size);
        double before = usedMb();
        ConfigHistory history = replay(patches, ConfigHistory.EMPTY, patches.fillCount());
        double heapMb = usedMb() - before;
        history = replay(patches, history, patches.fillCount() + WARM_UP);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 1; i <= MEASURED; i++) {
            entries.add(patches.entryAt(history.position() + i));
        }
        long[] nanos = new long[MEASURED];
        long allocated = allocatedBytes();
        for (int i = 0; i < MEASURED; i++) {
            long start = System.nanoTime();
            history = accepted(history.apply(entries.get(i)));
            nanos[i] = System.nanoTime() - start;
        }
        allocated = allocatedBytes() - allocated;
        if (!print) {
            return;
        }
        long bodyBytes = entries.stream().mapToLong(e -> e.body().getBytes(UTF_8).length).sum();
        double meanMicros = Arrays.stream(nanos).average().orElse(0) / 1e3;
        Arrays.sort(nanos);
        mOut.printf(
                "%,10d %10.1f %10.1f %10.1f %10d %,12d %10.1f%n",
                size.entities(),
                nanos[MEASURED / 2] / 1e3,
                nanos[MEASURED * 99 / 100] / 1e3,
                meanMicros,
                bodyBytes / MEASURED,
                allocated / MEASURED,
                heapMb);
    }

    private static ConfigHistory replay(
            SyntheticPatches patches, ConfigHistory from, long toPosition) {
        ConfigHistory history = from;
        while (history.position() < toPosition) {
            history = accepted(history.apply(patches.entryAt(history.position() + 1)));
        }
        return history;
    }

    private static ConfigHistory accepted(FoldResult result) {
        if (result instanceof FoldResult.Accepted) {
            return result.history();
        }
        throw new IllegalStateException("not accepted: " + result);
    }

    private static double usedMb() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }
}
