package org.apricotgauge.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.model.Address;
import org.apricotgauge.standin.LoadGenerator;
import org.apricotgauge.standin.LoadPlan;
import org.apricotgauge.standin.LoadReport;
import org.apricotgauge.standin.Told;

/**
 * Measures what one hop and two hops add to a request, beside the direct way in the same run.
 *
 * <p>Three open loops of the same rate run at once; latency counts from the planned start. First
 * the rate that the machine bears is found, then the measurement runs at half of it. Last, many
 * idle connections are held to see the entry's resident memory.
 */
public final class MeasurePath {
    private static final double P50 = 50.0;
    private static final double P99 = 99.0;
    private static final double P999 = 99.9;
    private static final int FIRST_RATE = 500;
    private static final int MAX_RATE = 16_000;
    private static final int PROBE_SECONDS = 4;
    private static final int WARM_UP_SECONDS = 8;
    private static final double BEARABLE_P99_MILLIS = 50.0;
    private static final int ANSWER_BYTES = 1_000;
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final Setting<Address> TARGET =
            Setting.required("target", SettingKinds.address(), "Target, reached directly.");
    private static final Setting<Address> ENTRY =
            Setting.required("entry", SettingKinds.address(), "Caller port of the entry.");
    private static final Setting<Integer> ENTRY_PID =
            Setting.required(
                    "entry-pid",
                    SettingKinds.integer("process id", 1, Integer.MAX_VALUE),
                    "Process of the entry.");
    private static final Setting<Integer> GUARD_PID =
            Setting.required(
                    "guard-pid",
                    SettingKinds.integer("process id", 1, Integer.MAX_VALUE),
                    "Process of the guard.");
    private static final Setting<Integer> SECONDS =
            Setting.withDefault(
                    "seconds", SettingKinds.integer("seconds", 1, 600), 15, "Length of the run.");
    private static final Setting<Integer> RATE =
            Setting.withDefault(
                    "rate",
                    SettingKinds.integer("requests per second", 0, MAX_RATE),
                    0,
                    "Rate of each of the three loops; 0 finds it: half of what the machine bears.");
    private static final Setting<Integer> CONNECTIONS =
            Setting.withDefault(
                    "connections",
                    SettingKinds.integer("connections", 0, 20_000),
                    4_000,
                    "Callers' connections held for the reading of memory.");

    private record Settings(
            Address target,
            Address entry,
            int entryPid,
            int guardPid,
            int seconds,
            int rate,
            int connections) {

        static Settings of(SettingValues values) {
            return new Settings(
                    values.get(TARGET),
                    values.get(ENTRY),
                    values.get(ENTRY_PID),
                    values.get(GUARD_PID),
                    values.get(SECONDS),
                    values.get(RATE),
                    values.get(CONNECTIONS));
        }
    }

    private record Ways(LoadReport direct, LoadReport one, LoadReport two) {}

    private MeasurePath() {}

    /** Runs the program. */
    public static void main(String[] args) {
        new Command<>(
                        "measure-path",
                        "Measures what one hop and two hops add to a request.",
                        List.of(TARGET, ENTRY, ENTRY_PID, GUARD_PID, SECONDS, RATE, CONNECTIONS),
                        Settings::of)
                .runAndExit(args, MeasurePath::run);
    }

    private static ExitCode run(Settings settings) throws IOException, InterruptedException {
        load(settings, FIRST_RATE, WARM_UP_SECONDS);
        int rate = settings.rate() > 0 ? settings.rate() : halfOfBearable(settings);
        ProcessReading entry = ProcessReading.of(settings.entryPid());
        ProcessReading guard = ProcessReading.of(settings.guardPid());
        Ways ways = load(settings, rate, settings.seconds());
        ProcessReading entryAfter = ProcessReading.of(settings.entryPid());
        ProcessReading guardAfter = ProcessReading.of(settings.guardPid());
        System.out.printf("each loop %d requests/s for %d s%n", rate, settings.seconds());
        System.out.printf("%-10s %9s %9s %9s %8s%n", "way", "p50 ms", "p99 ms", "p99.9 ms", "bad");
        print("direct", ways.direct());
        print("one hop", ways.one());
        print("two hops", ways.two());
        System.out.printf(
                "added at p99: one hop %.2f ms, two hops %.2f ms%n",
                ways.one().latencyMillis(P99) - ways.direct().latencyMillis(P99),
                ways.two().latencyMillis(P99) - ways.direct().latencyMillis(P99));
        double entryCores = entryAfter.coresSince(entry);
        double guardCores = guardAfter.coresSince(guard);
        System.out.printf(
                "entry: %.0f requests/s for each core, resident %d MB%n",
                2 * rate / Math.max(entryCores, 1e-3), entryAfter.residentMegabytes());
        System.out.printf(
                "guard: %.0f requests/s for each core, resident %d MB%n",
                rate / Math.max(guardCores, 1e-3), guardAfter.residentMegabytes());
        if (settings.connections() > 0) {
            try (HeldConnections held =
                    HeldConnections.open(settings.entry(), settings.connections(), "/two")) {
                System.out.printf(
                        "entry with %d connections held: resident %d MB%n",
                        held.count(), ProcessReading.of(settings.entryPid()).residentMegabytes());
            }
        }
        return ExitCode.OK;
    }

    private static void print(String way, LoadReport report) {
        long bad = report.sent() - report.count(Told.ANSWERED);
        System.out.printf(
                "%-10s %9.2f %9.2f %9.2f %8d%n",
                way,
                report.latencyMillis(P50),
                report.latencyMillis(P99),
                report.latencyMillis(P999),
                bad);
    }

    private static int halfOfBearable(Settings settings) throws IOException, InterruptedException {
        int bearable = FIRST_RATE;
        for (int rate = FIRST_RATE; rate <= MAX_RATE; rate *= 2) {
            Ways ways = load(settings, rate, PROBE_SECONDS);
            double p99 = ways.two().latencyMillis(P99);
            System.out.printf("at %d requests/s: two hops p99 %.2f ms%n", rate, p99);
            if (p99 > BEARABLE_P99_MILLIS) {
                break;
            }
            bearable = rate;
        }
        return bearable / 2;
    }

    private static Ways load(Settings settings, int rate, int seconds)
            throws IOException, InterruptedException {
        CompletableFuture<LoadReport> direct = start("d", settings.target(), "/", rate, seconds, 1);
        CompletableFuture<LoadReport> one = start("o", settings.entry(), "/one", rate, seconds, 2);
        CompletableFuture<LoadReport> two = start("t", settings.entry(), "/two", rate, seconds, 3);
        try {
            return new Ways(direct.get(), one.get(), two.get());
        } catch (ExecutionException e) {
            throw new IOException("load failed", e);
        }
    }

    private static CompletableFuture<LoadReport> start(
            String prefix, Address at, String path, int rate, int seconds, long seed) {
        List<Address> entries = new ArrayList<>(List.of(at));
        LoadPlan plan =
                new LoadPlan(entries, rate, seconds, 0, path, path, ANSWER_BYTES, TIMEOUT_MILLIS);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return new LoadGenerator(prefix, plan, seed).run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IllegalStateException("load interrupted", e);
                    }
                });
    }
}
