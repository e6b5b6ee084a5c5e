package org.apricotgauge.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.management.ThreadMXBean;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.PatchCodec;
import org.apricotgauge.config.SnapshotAssembler;
import org.apricotgauge.config.SnapshotChunk;
import org.apricotgauge.config.SnapshotCodec;

/**
 * Measures the fold: one patch at several sizes, the memory of the whole configuration, and start
 * by replay against start by snapshot.
 *
 * <pre>{@code
 * bin/measure-fold
 * }</pre>
 */
public final class MeasureFold {
    private static final int[] DIVISORS = {64, 16, 4, 1};
    private static final int[] DAYS = {0, 1, 7, 30};
    private static final int CHANGES_PER_DAY = 8_400;
    private static final int WARM_UP = 20_000;
    private static final int MEASURED = 20_000;
    private static final int GC_ROUNDS = 4;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    private final PrintStream mOut;

    private MeasureFold(PrintStream out) {
        mOut = out;
    }

    /** Runs all measurements and prints them. */
    public static void main(String[] args) {
        MeasureFold measure = new MeasureFold(System.out);
        measure.onePatchAtSeveralSizes();
        measure.startByReplayAndBySnapshot();
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
        Replay replay = new Replay(patches, ConfigHistory.EMPTY);
        replay.to(patches.fillCount());
        double heapMb = usedMb() - before;
        replay.to(patches.fillCount() + WARM_UP);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 1; i <= MEASURED; i++) {
            entries.add(replay.entry(replay.mHistory.position() + i));
        }
        long[] nanos = new long[MEASURED];
        ConfigHistory history = replay.mHistory;
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

    private void startByReplayAndBySnapshot() {
        mOut.printf("%nStart at full size, after days of %,d changes%n", CHANGES_PER_DAY);
        mOut.printf(
                "%6s %10s | %10s %10s | %8s %10s %10s %10s %10s%n",
                "days",
                "entries",
                "replay ms",
                "MB",
                "chunks",
                "cut ms",
                "start ms",
                "MB",
                "largest B");
        SyntheticPatches patches = new SyntheticPatches(SyntheticSize.FULL);
        for (int days : DAYS) {
            Replay replay = new Replay(patches, ConfigHistory.EMPTY);
            replay.to(patches.fillCount() + (long) days * CHANGES_PER_DAY);
            mOut.printf(
                    "%6d %,10d | %10.0f %10.1f | ",
                    days,
                    replay.mHistory.position(),
                    replay.mApplyNanos / NANOS_PER_MILLI,
                    replay.mBytes / BYTES_PER_MB);
            startBySnapshot(replay.mHistory);
        }
        mOut.printf("%nhighest heap after a collection: %.0f MB%n", peakAfterCollectionMb());
    }

    private void startBySnapshot(ConfigHistory history) {
        long start = System.nanoTime();
        List<SnapshotChunk> chunks = SnapshotCodec.encode(history);
        List<byte[]> texts = new ArrayList<>();
        for (SnapshotChunk chunk : chunks) {
            texts.add(SnapshotCodec.toJson(chunk).getBytes(UTF_8));
        }
        long cutNanos = System.nanoTime() - start;
        start = System.nanoTime();
        SnapshotAssembler assembler = new SnapshotAssembler();
        SnapshotAssembler.Result result = new SnapshotAssembler.Incomplete(0);
        for (byte[] text : texts) {
            result = assembler.add(SnapshotCodec.fromJson(new String(text, UTF_8)));
        }
        long startNanos = System.nanoTime() - start;
        ConfigHistory restored = ((SnapshotAssembler.Restored) result).history();
        if (!restored.digest().equals(history.digest())) {
            throw new IllegalStateException("snapshot and replay differ");
        }
        mOut.printf(
                "%8d %10.0f %10.0f %10.1f %,10d%n",
                texts.size(),
                cutNanos / NANOS_PER_MILLI,
                startNanos / NANOS_PER_MILLI,
                texts.stream().mapToLong(t -> t.length).sum() / BYTES_PER_MB,
                texts.stream().mapToInt(t -> t.length).max().orElse(0));
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

    private static double peakAfterCollectionMb() {
        long bytes = 0;
        for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
            if (pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null) {
                bytes += pool.getCollectionUsage().getUsed();
            }
        }
        return bytes / BYTES_PER_MB;
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Makes and applies patches one after the other, and times the applying alone. */
    private static final class Replay {
        private final SyntheticPatches mPatches;
        private ConfigHistory mHistory;
        private long mApplyNanos;
        private long mBytes;

        Replay(SyntheticPatches patches, ConfigHistory history) {
            mPatches = patches;
            mHistory = history;
        }

        LogEntry entry(long position) {
            return new LogEntry(position, PatchCodec.encode(mPatches.patchOn(position - 1)));
        }

        void to(long position) {
            while (mHistory.position() < position) {
                LogEntry entry = entry(mHistory.position() + 1);
                mBytes += entry.body().getBytes(UTF_8).length;
                long start = System.nanoTime();
                mHistory = accepted(mHistory.apply(entry));
                mApplyNanos += System.nanoTime() - start;
            }
        }
    }
}
