package org.apricotgauge.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.node.Node;
import org.apricotgauge.standin.Fault;
import org.apricotgauge.standin.LoadGenerator;
import org.apricotgauge.standin.LoadPlan;
import org.apricotgauge.standin.TargetStandin;

/**
 * Measures detection over real sockets: whole nodes, targets with gray faults, an open loop.
 *
 * <p>For each row the seconds from the fault until two seconds follow in which the target ran no
 * more than three requests (it is tried about once a second), in several episodes; each has a fresh
 * fleet.
 */
public final class MeasureDetection {
    private static final int VMS = 3;
    private static final int TARGETS = 6;
    private static final int WARM_SECONDS = 12;
    private static final int WATCH_SECONDS = 12;
    private static final long SAMPLE_MILLIS = 20;
    private static final long WINDOW_MILLIS = 2_000;
    private static final int TRIES_IN_WINDOW = 3;
    private static final long SERVICE_MICROS = 20_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private static final Setting<Integer> EPISODES =
            Setting.withDefault(
                    "episodes",
                    SettingKinds.integer("episodes", 1, 100),
                    3,
                    "Episodes of each row.");

    private record Row(
            String pool,
            int slots,
            int ratePerTarget,
            DetectionOdds odds,
            String name,
            Fault fault) {}

    private record Sample(long atMillis, long runs) {}

    private MeasureDetection() {}

    /** Runs the program. */
    public static void main(String[] args) {
        new Command<>(
                        "measure-detection",
                        "Measures detection over real sockets.",
                        List.of(EPISODES),
                        values -> values.get(EPISODES))
                .runAndExit(args, MeasureDetection::run);
    }

    private static ExitCode run(Integer episodes) throws IOException, InterruptedException {
        System.out.printf("%-10s %-14s %s%n", "pool", "fault", "seconds to relief, sorted");
        for (Row row : rows()) {
            double[] seconds = new double[episodes];
            for (int i = 0; i < episodes; i++) {
                seconds[i] = episode(row, i);
            }
            Arrays.sort(seconds);
            System.out.printf("%-10s %-14s %s%n", row.pool(), row.name(), Arrays.toString(seconds));
        }
        return ExitCode.OK;
    }

    private static List<Row> rows() {
        DetectionOdds entoto = new DetectionOdds(5, 1);
        DetectionOdds kampsi = new DetectionOdds(1, 20);
        Fault errors = new Fault(100, 0, 1, 0, 0);
        Fault half = new Fault(50, 0, 1, 0, 0);
        Fault slow = new Fault(0, 0, 10, 0, 0);
        List<Row> rows = new ArrayList<>();
        rows.add(new Row("Entoto 6x3", 3, 10, entoto, "100% errors", errors));
        rows.add(new Row("Entoto 6x3", 3, 10, entoto, "50% errors", half));
        rows.add(new Row("Entoto 6x3", 3, 10, entoto, "10x slow", slow));
        rows.add(new Row("Kampsi 6x7", 7, 50, kampsi, "100% errors", errors));
        rows.add(new Row("Kampsi 6x7", 7, 50, kampsi, "50% errors", half));
        rows.add(new Row("Kampsi 6x7", 7, 50, kampsi, "10x slow", slow));
        return rows;
    }

    private static double episode(Row row, int number) throws IOException, InterruptedException {
        List<TargetStandin> targets = new ArrayList<>();
        try (LocalFleet fleet = new LocalFleet()) {
            List<Address> entries = start(fleet, row, targets, number);
            LoadPlan plan =
                    new LoadPlan(
                            entries,
                            row.ratePerTarget() * TARGETS,
                            WARM_SECONDS + WATCH_SECONDS,
                            0,
                            "/lookup",
                            "/once",
                            200,
                            5_000);
            LoadGenerator generator = new LoadGenerator("d", plan, number);
            CompletableFuture<Void> load =
                    CompletableFuture.runAsync(
                            () -> {
                                try {
                                    generator.run();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            TimeUnit.SECONDS.sleep(WARM_SECONDS);
            double seconds = watch(targets.get(0), row.fault());
            load.join();
            return seconds;
        } finally {
            targets.forEach(TargetStandin::close);
        }
    }

    private static List<Address> start(
            LocalFleet fleet, Row row, List<TargetStandin> targets, int number) throws IOException {
        List<Node> nodes = new ArrayList<>();
        for (int vm = 0; vm < VMS; vm++) {
            nodes.add(fleet.startNode("vm-" + vm));
        }
        fleet.publish(new PatchOperation.SetDetection(LocalFleet.SERVICE, row.odds()));
        for (int i = 0; i < TARGETS; i++) {
            TargetStandin target =
                    TargetStandin.start(
                            new TargetStandin.Settings(
                                    "t-" + i,
                                    "127.0.0.1",
                                    0,
                                    row.slots(),
                                    SERVICE_MICROS,
                                    number * TARGETS + i));
            targets.add(target);
            fleet.putTarget("t-" + i, "vm-" + i % VMS, target.port(), row.slots());
        }
        fleet.settle();
        return nodes.stream().map(node -> new Address("127.0.0.1", node.callerPort())).toList();
    }

    private static double watch(TargetStandin target, Fault fault) throws InterruptedException {
        List<Sample> samples = new ArrayList<>();
        target.setFault(fault);
        long startMillis = System.currentTimeMillis();
        long endMillis = startMillis + TimeUnit.SECONDS.toMillis(WATCH_SECONDS - 1);
        while (System.currentTimeMillis() < endMillis) {
            samples.add(new Sample(System.currentTimeMillis(), target.stats().runs()));
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
        int ahead = (int) (WINDOW_MILLIS / SAMPLE_MILLIS);
        for (int i = 0; i + ahead < samples.size(); i++) {
            long runs = samples.get(i + ahead).runs() - samples.get(i).runs();
            if (runs <= TRIES_IN_WINDOW) {
                return (samples.get(i).atMillis() - startMillis) / MILLIS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
