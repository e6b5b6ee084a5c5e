package org.apricotgauge.bench.soak;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;

/** Stops nodes of a fleet of processes in series that overlap, and judges every request. */
public final class ProcessSoak {
    private static final Setting<Long> SEED =
            Setting.withDefault(
                    "seed",
                    SettingKinds.longInteger("number", 0, Long.MAX_VALUE),
                    1L,
                    "First seed.");
    private static final Setting<Integer> SEEDS =
            Setting.withDefault(
                    "seeds",
                    SettingKinds.integer("seeds", 1, 10_000),
                    1,
                    "Number of consecutive seeds, one after the other.");
    private static final Setting<Integer> SECONDS =
            Setting.withDefault(
                    "seconds",
                    SettingKinds.integer("seconds", 5, 86_400),
                    60,
                    "Length of the load of each seed.");
    private static final Setting<Integer> NODES =
            Setting.withDefault(
                    "nodes", SettingKinds.integer("nodes", 2, 300), 9, "Number of nodes.");
    private static final Setting<Integer> DOMAINS =
            Setting.withDefault(
                    "failure-domains",
                    SettingKinds.integer("failure domains", 1, 20),
                    3,
                    "Number of failure domains.");
    private static final Setting<Integer> CALLERS =
            Setting.withDefault(
                    "callers", SettingKinds.integer("callers", 1, 100), 5, "Callers of each node.");
    private static final Setting<Integer> BURST_CALLERS =
            Setting.withDefault(
                    "burst-callers",
                    SettingKinds.integer("callers", 0, 100),
                    0,
                    "Further callers of each node, which send in bursts.");
    private static final Setting<WorkKind> WORK =
            Setting.withDefault(
                    "work",
                    SettingKinds.oneOf(WorkKind.class),
                    WorkKind.MIXED,
                    "What callers send, and the routes' timeout.");
    private static final Setting<Optional<Series>> SERIES =
            Setting.optional(
                    "series",
                    SettingKinds.oneOf(Series.class),
                    "Order of the stops; drawn from the seed by default.");
    private static final Setting<Optional<Path>> BUILD =
            Setting.optional(
                    "build",
                    SettingKinds.path(),
                    "Root of the built checkout that nodes run; this one by default.");
    private static final Setting<Optional<Path>> SECOND_BUILD =
            Setting.optional(
                    "second-build",
                    SettingKinds.path(),
                    "Root of another built checkout, for a mixed fleet.");
    private static final Setting<Double> SECOND_SHARE =
            Setting.withDefault(
                    "second-share",
                    SettingKinds.decimal("share", 0, 1),
                    0.5,
                    "Share of the nodes that run the second build.");
    private static final Setting<Optional<Path>> KEEP_LOGS =
            Setting.optional(
                    "keep-logs",
                    SettingKinds.path(),
                    "Directory for the nodes' logs; a temporary one by default.");

    private record Settings(SettingValues values) {
        SoakSettings ofSeed(long seed) throws IOException {
            return new SoakSettings(
                    seed,
                    values.get(SECONDS),
                    values.get(NODES),
                    values.get(DOMAINS),
                    values.get(CALLERS),
                    values.get(BURST_CALLERS),
                    values.get(WORK),
                    SoakFleet.STOP_MILLIS,
                    classPaths(),
                    values.get(SERIES),
                    logs(seed));
        }

        /** Returns a class path for each node; those of the second build are spread evenly. */
        private List<String> classPaths() throws IOException {
            String first = System.getProperty("java.class.path");
            if (values.get(BUILD).isPresent()) {
                first = classPath(values.get(BUILD).get());
            }
            if (values.get(SECOND_BUILD).isEmpty()) {
                return List.of(first);
            }
            String second = classPath(values.get(SECOND_BUILD).get());
            double share = values.get(SECOND_SHARE);
            List<String> classPaths = new ArrayList<>();
            for (int node = 0; node < values.get(NODES); node++) {
                boolean isSecond = Math.floor((node + 1) * share) > Math.floor(node * share);
                classPaths.add(isSecond ? second : first);
            }
            return classPaths;
        }

        private static String classPath(Path root) throws IOException {
            Path target = root.toAbsolutePath().resolve("target");
            try (var jars = Files.newDirectoryStream(target, "apricotgauge-*.jar")) {
                for (Path jar : jars) {
                    return jar + ":" + target.resolve("lib") + "/*";
                }
            }
            throw new IOException("no build in " + target);
        }

        private Path logs(long seed) throws IOException {
            Optional<Path> kept = values.get(KEEP_LOGS);
            return kept.isPresent()
                    ? kept.get().resolve("seed-" + seed)
                    : Files.createTempDirectory("apricotgauge-soak-" + seed + "-");
        }
    }

    private ProcessSoak() {}

    /** Runs the program. */
    public static void main(String[] args) {
        new Command<>(
                        "soak",
                        "Stops nodes of a fleet of processes and judges every request.",
                        List.of(
                                SEED,
                                SEEDS,
                                SECONDS,
                                NODES,
                                DOMAINS,
                                CALLERS,
                                BURST_CALLERS,
                                WORK,
                                SERIES,
                                BUILD,
                                SECOND_BUILD,
                                SECOND_SHARE,
                                KEEP_LOGS),
                        Settings::new,
                        ProcessSoak::faults)
                .runAndExit(args, ProcessSoak::run);
    }

    private static List<SettingFault> faults(SettingValues values) {
        var system =
                (com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean();
        return new FleetMemory(system.getTotalMemorySize())
                .refusal(values.get(NODES)).stream()
                        .map(reason -> new SettingFault(NODES.flag(), reason))
                        .toList();
    }

    private static ExitCode run(Settings settings) throws IOException, InterruptedException {
        long firstSeed = settings.values().get(SEED);
        int seeds = settings.values().get(SEEDS);
        Tally total = Tally.EMPTY;
        boolean isSound = true;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakResult result = runSeed(settings.ofSeed(seed));
            isSound &= result.isSound();
            total = total.plus(result.tally());
        }
        System.out.printf("total of %d seeds: %s%n", seeds, total.line());
        return isSound ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static SoakResult runSeed(SoakSettings settings)
            throws IOException, InterruptedException {
        try (SoakFleet fleet = new SoakFleet(settings)) {
            // The nodes would outlive a soak that is ended by a signal.
            Thread end = new Thread(fleet::endProcesses);
            Runtime.getRuntime().addShutdownHook(end);
            SoakResult result = fleet.run();
            System.out.printf(
                    "seed %d, %s, logs in %s%n", settings.seed(), fleet.series(), settings.logs());
            System.out.print(result.excusedLines() + result.faultLines() + result.table());
            System.out.printf(
                    Locale.ROOT,
                    "seed %d %s %s, load average %.1f: %s%n",
                    settings.seed(),
                    fleet.series(),
                    settings.work(),
                    result.loadAverage(),
                    result.tally().line());
            Runtime.getRuntime().removeShutdownHook(end);
            return result;
        }
    }
}
