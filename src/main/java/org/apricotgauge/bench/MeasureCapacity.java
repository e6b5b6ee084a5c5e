package org.apricotgauge.bench;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptId;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.detection.ConfiguredTargets;
import org.apricotgauge.decision.detection.Observation;
import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.detection.ServiceDetector;
import org.apricotgauge.decision.detection.TargetPresence;
import org.apricotgauge.decision.routing.BalancingPolicy;
import org.apricotgauge.decision.routing.RouteIndex;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.RoutingTableFactory;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/**
 * Measures the slopes behind docs/CAPACITY.md: memory and processor time of a node's parts at
 * several sizes, a line fitted through them, and the value at the size of two years from now.
 */
public final class MeasureCapacity {
    private static final int TARGETS_PER_SERVICE = 19;
    private static final int FULL_SERVICES = 3_900;
    private static final int FULL_ROUTES = 33_000;
    private static final int ROUNDS = 7;
    private static final int SLOTS = 7;
    private static final double KILO = 1_024.0;
    private static final double KILO_MICROS = 1_000.0;
    private static final int OBSERVATIONS = 40;
    private static final long SEED = 5;

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private MeasureCapacity() {}

    /** Runs the program. */
    public static void main(String[] args) {
        new Command<>(
                        "measure-capacity",
                        "Measures slopes of a node's memory and processor time.",
                        List.of(),
                        values -> values)
                .runAndExit(args, values -> run());
    }

    private static ExitCode run() {
        System.out.printf(
                "%-44s %10s %12s %10s %12s%n", "what", "slope", "unit", "residual", "at full size");
        routingTable();
        routes();
        detectors();
        ledger();
        return ExitCode.OK;
    }

    private static void routingTable() {
        int[] services = {500, 1_000, 2_000, FULL_SERVICES};
        row(
                "routing table, memory",
                "KB/service",
                services,
                size -> kilobytesOf(() -> table(configuration(size, 0))),
                FULL_SERVICES);
        row(
                "routing table, building all",
                "ms/service",
                services,
                size -> {
                    Configuration configuration = configuration(size, 0);
                    return millisOf(() -> table(configuration));
                },
                FULL_SERVICES);
        RoutingTable full = table(configuration(FULL_SERVICES, 0));
        RoutingTableFactory factory = new RoutingTableFactory("vm-0", "d0");
        System.out.printf(
                "%-44s %10.4f %12s%n",
                "routing table, one service anew",
                millisOf(() -> factory.refresh(full, "s0", view(), 0)),
                "ms");
        SplittableRandom random = new SplittableRandom(SEED);
        System.out.printf(
                "%-44s %10.3f %12s%n",
                "choice of a target",
                microsEach(
                        100_000,
                        i ->
                                BalancingPolicy.choose(
                                        full.service("s" + i % FULL_SERVICES).orElseThrow(),
                                        Set.of(),
                                        random,
                                        0)),
                "us");
    }

    private static void routes() {
        int[] routes = {4_000, 8_000, 16_000, FULL_ROUTES};
        row(
                "route index, memory beside the routes",
                "KB/route",
                routes,
                size -> {
                    Configuration configuration = configuration(1, size);
                    return kilobytesOf(() -> RouteIndex.of(configuration.routes()));
                },
                FULL_ROUTES);
        RouteIndex index = RouteIndex.of(configuration(1, FULL_ROUTES).routes());
        System.out.printf(
                "%-44s %10.3f %12s%n",
                "look-up of a route, four segments",
                microsEach(200_000, i -> index.find("h" + i % 100, "/r" + i % 33_000 + "/a/b/c")),
                "us");
    }

    private static void detectors() {
        int[] services = {50, 100, 200, 400};
        row(
                "detectors, memory with some evidence",
                "KB/service",
                services,
                size -> kilobytesOf(() -> detectorsOf(size)),
                FULL_SERVICES);
        ServiceDetector detector = detector("s0");
        System.out.printf(
                "%-44s %10.3f %12s%n",
                "detector, one observation",
                microsEach(200_000, i -> detector.observe(observation(i))),
                "us");
        ConfiguredTargets membership = membership();
        System.out.printf(
                "%-44s %10.3f %12s%n",
                "detector, one decision over 19 targets",
                microsEach(20_000, i -> detector.decide(i, membership)),
                "us");
    }

    private static void ledger() {
        int[] attempts = {4_000, 8_000, 16_000, 32_000};
        row(
                "attempt ledger, memory",
                "KB/attempt",
                attempts,
                size -> kilobytesOf(() -> ledgerOf(size)),
                AttemptLimits.DEFAULT.maxEnded());
        AttemptLedger ledger = new AttemptLedger(1, AttemptLimits.DEFAULT);
        AtomicInteger next = new AtomicInteger();
        System.out.printf(
                "%-44s %10.3f %12s%n",
                "attempt ledger, one attempt to its end",
                microsEach(200_000, i -> attempt(ledger, next.getAndIncrement())),
                "us");
    }

    private static Configuration configuration(int services, int routes) {
        Configuration configuration = Configuration.EMPTY;
        for (int s = 0; s < services; s++) {
            String service = "s" + s;
            configuration =
                    configuration.withService(
                            new Service(service, 50, new DetectionOdds(10, 1), 10, 100, null));
            for (int t = 0; t < TARGETS_PER_SERVICE; t++) {
                int vm = (s * TARGETS_PER_SERVICE + t) % 7_100;
                configuration =
                        configuration.withTarget(
                                new Target(
                                        service + "-t" + t,
                                        service,
                                        "vm-" + vm,
                                        "d" + t % 12,
                                        "10.0.0.1",
                                        8_080,
                                        SLOTS));
            }
        }
        for (int r = 0; r < routes; r++) {
            configuration =
                    configuration.withRoute(
                            new Route(
                                    "r" + r,
                                    "h" + r % 100,
                                    "/r" + r,
                                    "s0",
                                    Priority.NORMAL,
                                    Repeatability.BY_METHOD,
                                    1_000));
        }
        return configuration;
    }

    private static RoutingTableFactory.TargetStateSource view() {
        return new RoutingTableFactory.TargetStateSource(
                target -> null, target -> false, target -> 1.0);
    }

    private static RoutingTable table(Configuration configuration) {
        return new RoutingTableFactory("vm-0", "d0")
                .create(RoutingTable.EMPTY, 1, configuration, view(), 0);
    }

    private static List<ServiceDetector> detectorsOf(int count) {
        List<ServiceDetector> detectors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            detectors.add(detector("s" + i));
        }
        return detectors;
    }

    private static ServiceDetector detector(String service) {
        ServiceDetector detector =
                new ServiceDetector(
                        new Service(service, 50, new DetectionOdds(10, 1), 10, 100, null), 1);
        detector.decide(0, membership());
        for (int i = 0; i < OBSERVATIONS * TARGETS_PER_SERVICE; i++) {
            detector.observe(observation(i));
        }
        return detector;
    }

    private static Observation observation(int i) {
        return new Observation(
                "t" + i % TARGETS_PER_SERVICE,
                ObservationPoint.ENTRY,
                ObservedOutcome.SUCCESS,
                5_000 + i % 1_000,
                i,
                Observation.NO_KEY);
    }

    private static ConfiguredTargets membership() {
        List<ConfiguredTargets.ConfiguredTarget> entries = new ArrayList<>();
        for (int t = 0; t < TARGETS_PER_SERVICE; t++) {
            entries.add(
                    new ConfiguredTargets.ConfiguredTarget("t" + t, SLOTS, TargetPresence.PRESENT));
        }
        return new ConfiguredTargets(entries);
    }

    private static AttemptLedger ledgerOf(int attempts) {
        AttemptLedger ledger = new AttemptLedger(1, AttemptLimits.DEFAULT);
        for (int i = 0; i < attempts; i++) {
            attempt(ledger, i);
        }
        return ledger;
    }

    private static boolean attempt(AttemptLedger ledger, int i) {
        Attempt attempt = new Attempt(new AttemptId("vm-0", 1, i), 1, 10_000 + i);
        ledger.admit(attempt, i);
        ledger.started(attempt);
        ledger.completed(attempt, 200, i);
        return true;
    }

    private static void row(
            String what, String unit, int[] sizes, IntFunction<Double> measure, int full) {
        double[] at = new double[sizes.length];
        double[] values = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            at[i] = sizes[i];
            values[i] = measure.apply(sizes[i]);
        }
        LineFit line = LineFit.through(at, values);
        System.out.printf(
                "%-44s %10.4f %12s %9.1f%% %12.1f%n",
                what, line.slope(), unit, line.residualPercent(), line.at(full));
    }

    /** Something that makes an object. */
    @FunctionalInterface
    private interface Maker {
        Object make();
    }

    /** Returns the heap that an object keeps, in kilobytes; the least of several rounds. */
    private static double kilobytesOf(Maker maker) {
        double least = Double.MAX_VALUE;
        for (int round = 0; round < 3; round++) {
            least = Math.min(least, kilobytesOnce(maker));
        }
        return least;
    }

    private static double kilobytesOnce(Maker maker) {
        long before = usedBytes();
        Object made = maker.make();
        double kept = (usedBytes() - before) / KILO;
        Reference.reachabilityFence(made);
        return kept;
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the processor time of one call, in milliseconds; the median of several rounds. */
    private static double millisOf(Maker maker) {
        double[] millis = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            Reference.reachabilityFence(maker.make());
            millis[round] =
                    (double) (THREADS.getCurrentThreadCpuTime() - before)
                            / TimeUnit.MILLISECONDS.toNanos(1);
        }
        Arrays.sort(millis);
        return millis[ROUNDS / 2];
    }

    /** Returns the processor time of each of many calls, in microseconds; the median of rounds. */
    private static double microsEach(int calls, IntFunction<Object> call) {
        double allMillis =
                millisOf(
                        () -> {
                            Object last = null;
                            for (int i = 0; i < calls; i++) {
                                last = call.apply(i);
                            }
                            return last == null ? "" : last;
                        });
        return allMillis * KILO_MICROS / calls;
    }
}
