package org.apricotgauge.bench;

import java.util.List;
import java.util.stream.Stream;
import org.apricotgauge.bench.policy.PolicyTable;
import org.apricotgauge.bench.policy.SimulatedPool;

/**
 * Measures detection time and false ejections of the ejection policy and of two baselines.
 *
 * <pre>{@code
 * bin/measure-policy              # seed 1, 300 episodes and 1,000 target-hours a cell
 * bin/measure-policy 7 50 100     # seed, episodes, healthy target-hours
 * bin/measure-policy 7 50 100 Kampsi "global overload"
 * }</pre>
 *
 * <p>The same arguments print the same table on every run.
 */
public final class MeasurePolicy {
    private static final long DEFAULT_SEED = 1;
    private static final int DEFAULT_EPISODES = 300;
    private static final double DEFAULT_HOURS = 1_000;

    private MeasurePolicy() {}

    /** Prints the table. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        int episodes = args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_EPISODES;
        double hours = args.length > 2 ? Double.parseDouble(args[2]) : DEFAULT_HOURS;
        String prefix = args.length > 3 ? args[3] : "";
        String fault = args.length > 4 ? args[4] : "";
        List<SimulatedPool> pools =
                Stream.of(
                                SimulatedPool.entoto(6),
                                SimulatedPool.entoto(9),
                                SimulatedPool.kampsi(6),
                                SimulatedPool.kampsi(9))
                        .filter(pool -> pool.name().startsWith(prefix))
                        .toList();
        new PolicyTable(seed, episodes, hours, fault).measure(pools).forEach(System.out::println);
    }
}
