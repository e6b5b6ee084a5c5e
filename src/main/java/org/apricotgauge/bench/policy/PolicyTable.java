package org.apricotgauge.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * The table of all faults, pools and policies, cell by cell on several threads.
 *
 * <p>Each cell has its own seed, so that the table is the same for any number of threads.
 */
public final class PolicyTable {
    private static final int MAX_THREADS = 6;

    private final long mSeed;
    private final int mEpisodes;
    private final double mHours;
    private final String mFault;

    /**
     * Makes a table.
     *
     * @param seed decides all random draws
     * @param episodes how many episodes each cell has
     * @param hours least healthy target-hours of each cell
     * @param fault the rows whose name begins so
     */
    public PolicyTable(long seed, int episodes, double hours, String fault) {
        mSeed = seed;
        mEpisodes = episodes;
        mHours = hours;
        mFault = fault;
    }

    private record Row(
            SimulatedPool pool, Fault fault, List<CompletableFuture<Cell.Result>> cells) {}

    /** Measures the pools and returns the lines. */
    public List<String> measure(List<SimulatedPool> pools) {
        ExecutorService threads = Executors.newFixedThreadPool(MAX_THREADS);
        try {
            List<Row> rows = new ArrayList<>();
            for (SimulatedPool pool : pools) {
                for (Fault fault : rows()) {
                    SimulatedPool used = fault.isThin() ? pool.thin() : pool;
                    rows.add(new Row(used, fault, start(used, fault, threads)));
                }
            }
            return lines(rows);
        } finally {
            threads.shutdown();
        }
    }

    private List<Fault> rows() {
        return Stream.of(Fault.rows()).filter(row -> row.name().startsWith(mFault)).toList();
    }

    private List<CompletableFuture<Cell.Result>> start(
            SimulatedPool pool, Fault fault, ExecutorService threads) {
        boolean isPath = fault.scope() == Fault.Scope.PATH;
        List<Function<SimulatedPool, EjectionPolicy>> policies =
                List.of(
                        any -> new DetectorPolicy(any, isPath),
                        ConsecutiveErrorsPolicy::new,
                        SuccessRatePolicy::new);
        List<CompletableFuture<Cell.Result>> cells = new ArrayList<>();
        for (Function<SimulatedPool, EjectionPolicy> policy : policies) {
            cells.add(
                    CompletableFuture.supplyAsync(
                            () -> Cell.run(pool, fault, policy, mEpisodes, mHours, mSeed),
                            threads));
        }
        return cells;
    }

    private static List<String> lines(List<Row> rows) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "| Pool | Fault | Bound s | Policy p50 s | p50 / bound | p99 s | missed | false |"
                        + " 5 errors p50 s | p99 s | missed | false |"
                        + " success rate p50 s | p99 s | missed | false |");
        lines.add("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
        for (Row row : rows) {
            lines.add(line(row));
        }
        return lines;
    }

    private static String line(Row row) {
        List<Cell.Result> results = row.cells().stream().map(CompletableFuture::join).toList();
        double bound = LordenBound.seconds(row.pool(), row.fault());
        StringBuilder line = new StringBuilder();
        line.append("| ").append(row.pool().name());
        line.append(" | ").append(row.fault().name());
        line.append(" | ").append(bound > 0 ? format(bound, 3) : "-");
        for (int i = 0; i < results.size(); i++) {
            Cell.Result result = results.get(i);
            boolean isTimed = result.detections() > 0;
            line.append(" | ").append(seconds(result.p50Millis(), row.pool()));
            if (i == 0) {
                boolean hasRatio = bound > 0 && isTimed;
                line.append(" | ");
                line.append(hasRatio ? format(result.p50Millis() / 1_000.0 / bound, 2) : "-");
            }
            line.append(" | ").append(seconds(result.p99Millis(), row.pool()));
            line.append(" | ").append(isTimed ? percent(result) : "-");
            line.append(" | ").append(format(result.falsePerThousandHours(), 2));
        }
        return line.append(" |").toString();
    }

    private static String percent(Cell.Result result) {
        return Math.round(result.missed() * 100.0 / result.detections()) + "%";
    }

    private static String seconds(long millis, SimulatedPool pool) {
        if (millis < 0) {
            return "-";
        }
        return millis >= pool.capMillis() ? "never" : format(millis / 1_000.0, 3);
    }

    private static String format(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
