package org.apricotgauge.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.log.LogFormat;
import org.apricotgauge.log.LogLevel;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.standin.PlatformMode;

/**
 * Measures how long a patch takes to be in force in all nodes, and what that costs.
 *
 * <pre>{@code
 * bin/measure-config 10 30 100
 * }</pre>
 *
 * <p>For each size: 20 patches of 600 bytes, one after the other, (a) with the platform up, (b)
 * with the platform taken down as soon as one node has read the patch, (c) with 10% of the ordered
 * pairs of nodes losing every frame. Then bytes, processor time and calls at rest, and at 1 and 4
 * changes a second (10 and 41 times 8,400 a day), and with one change of the list of VMs a second.
 * Before that, the memory and time of one node's state with 7,100 VMs known.
 */
public final class MeasureConfig {
    private static final int PATCHES = 20;
    private static final int PATCH_CHARS = 600;
    private static final long LIMIT_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final long REST_MILLIS = 20_000;
    private static final long LOAD_MILLIS = 5_000;
    private static final long CHURN_GAP_MILLIS = 1_000;
    private static final double LOST_SHARE = 0.1;
    private static final long SEED = 42;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Times of all nodes over all patches, and how many were never reached in time. */
    private record Spread(List<Double> millis, int missing) {
        double at(double share) {
            List<Double> sorted = millis.stream().sorted().toList();
            int index = (int) Math.ceil(share * sorted.size()) - 1;
            return sorted.get(Math.max(0, index));
        }
    }

    /** Counters of the whole fleet at one moment. */
    private record Usage(long bytes, long calls, long cpuNanos, long nanos) {}

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    private MeasureConfig() {}

    /** Runs the measurement for each size that the arguments name. */
    public static void main(String[] args) throws Exception {
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.ERROR));
        ControlStateCost.print();
        MeasureConfig measure = new MeasureConfig();
        for (String size : args.length == 0 ? new String[] {"10", "30", "100"} : args) {
            measure.measure(Integer.parseInt(size));
        }
    }

    private void measure(int size) throws Exception {
        try (ControlFleet fleet = new ControlFleet(size, SEED)) {
            fleet.awaitOpen(LIMIT_MILLIS);
            Thread.sleep(SETTLE_MILLIS);
            print(size, "platform up", patches(fleet, false));
            printUsage(size, "at rest", rest(fleet, REST_MILLIS), REST_MILLIS, size);
            printUsage(size, "1 change/s", load(fleet, 1_000), LOAD_MILLIS, size);
            printUsage(size, "4 changes/s", load(fleet, 250), LOAD_MILLIS, size);
            printUsage(size, "1 VM change/s", churn(fleet), LOAD_MILLIS, size);
            print(size, "platform down after one read", patches(fleet, true));
            fleet.standin().setMode(PlatformMode.UP);
            cutLinks(fleet, size);
            print(size, "10% of links lost, at once", patches(fleet, false));
            Thread.sleep(SETTLE_MILLIS);
            print(size, "10% of links lost, later", patches(fleet, false));
        }
    }

    private Spread patches(ControlFleet fleet, boolean downAfterRead) throws Exception {
        List<Double> millis = new ArrayList<>();
        int missing = 0;
        for (int i = 0; i < PATCHES; i++) {
            fleet.standin().setMode(PlatformMode.UP);
            long startNanos = System.nanoTime();
            long position = fleet.standin().append("x".repeat(PATCH_CHARS));
            if (downAfterRead) {
                awaitOne(fleet, position);
                fleet.standin().setMode(PlatformMode.DOWN);
            }
            missing += fleet.awaitPosition(position, LIMIT_MILLIS);
            for (ControlFleet.Node node : fleet.nodes()) {
                millis.add((node.mAdvancedNanos - startNanos) / NANOS_PER_MILLI);
            }
        }
        return new Spread(millis, missing);
    }

    private static void awaitOne(ControlFleet fleet, long position) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (System.nanoTime() < deadline) {
            if (fleet.nodes().stream().anyMatch(node -> node.mPosition >= position)) {
                return;
            }
            Thread.onSpinWait();
        }
    }

    private static void cutLinks(ControlFleet fleet, int size) {
        Random random = new Random(SEED);
        for (int from = 0; from < size; from++) {
            for (int to = 0; to < size; to++) {
                if (from != to && random.nextDouble() < LOST_SHARE) {
                    fleet.cut(from, to);
                }
            }
        }
    }

    private Usage rest(ControlFleet fleet, long millis) throws Exception {
        Usage before = usage(fleet);
        Thread.sleep(millis);
        return since(before, usage(fleet));
    }

    private Usage load(ControlFleet fleet, long gapMillis) throws Exception {
        Usage before = usage(fleet);
        for (long done = 0; done < LOAD_MILLIS; done += gapMillis) {
            fleet.standin().append("x".repeat(PATCH_CHARS));
            Thread.sleep(gapMillis);
        }
        return since(before, usage(fleet));
    }

    private Usage churn(ControlFleet fleet) throws Exception {
        Usage before = usage(fleet);
        boolean leaving = true;
        for (long done = 0; done < LOAD_MILLIS; done += CHURN_GAP_MILLIS) {
            fleet.publishVms(leaving ? VmStatus.State.LEAVING : VmStatus.State.LIVE);
            leaving = !leaving;
            Thread.sleep(CHURN_GAP_MILLIS);
        }
        return since(before, usage(fleet));
    }

    private Usage usage(ControlFleet fleet) {
        long cpuNanos = 0;
        for (ControlFleet.Node node : fleet.nodes()) {
            cpuNanos += mThreads.getThreadCpuTime(node.mPlane.threadId());
        }
        long bytes = fleet.sum("peer.bytes.in") + fleet.sum("peer.bytes.out");
        return new Usage(bytes, fleet.standin().calls(), cpuNanos, System.nanoTime());
    }

    private static Usage since(Usage a, Usage b) {
        return new Usage(
                b.bytes() - a.bytes(),
                b.calls() - a.calls(),
                b.cpuNanos() - a.cpuNanos(),
                b.nanos() - a.nanos());
    }

    private static void print(int size, String what, Spread spread) {
        System.out.printf(
                Locale.ROOT,
                "N=%d %s: p50 %.1f ms, p99 %.1f ms, slowest %.1f ms, not in %d s: %d%n",
                size,
                what,
                spread.at(0.5),
                spread.at(0.99),
                spread.at(1),
                TimeUnit.MILLISECONDS.toSeconds(LIMIT_MILLIS),
                spread.missing());
    }

    private static void printUsage(int size, String what, Usage usage, long millis, int nodes) {
        double seconds = usage.nanos() / 1e9;
        System.out.printf(
                Locale.ROOT,
                "N=%d %s: %.0f bytes/s in and out per node, %.2f platform calls/s in all,"
                        + " %.3f%% of a core per node (over %d ms)%n",
                size,
                what,
                usage.bytes() / seconds / nodes,
                usage.calls() / seconds,
                100.0 * usage.cpuNanos() / usage.nanos() / nodes,
                millis);
    }
}
