package org.apricotgauge.bench;

import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.model.Priority;

/**
 * Measures goodput, fairness and urgent latency of a target under overload, against a FIFO.
 *
 * <pre>{@code
 * bin/measure-overload --seconds 60 --seed 1
 * }</pre>
 *
 * <p>A simulation by discrete events that drives the real admission queue; the same flags give the
 * same figures on every machine.
 */
public final class MeasureOverload {
    private static final double UNLOADED = 0.1;
    private static final int IDLE_TIMES = 10;
    private static final List<Integer> SLOTS = List.of(3, 7);
    private static final List<Double> LOADS = List.of(2.0, 5.0);

    private MeasureOverload() {}

    /**
     * Prints the table.
     *
     * @throws ParseException if a flag is unknown or not a number
     */
    public static void main(String[] args) throws ParseException {
        Options options = new Options();
        options.addOption(null, "seconds", true, "simulated seconds of each run");
        options.addOption(null, "seed", true, "seed of arrivals and service times");
        CommandLine line = new DefaultParser().parse(options, args);
        int seconds = Integer.parseInt(line.getOptionValue("seconds", "60"));
        long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        System.out.printf(
                "%-10s %5s %5s %-13s | %8s %9s %9s %9s %6s %6s %6s %6s %6s%n",
                "policy",
                "slots",
                "load",
                "older",
                "goodput%",
                "minfair%",
                "urgp99ms",
                "vs.idle",
                "urg%*",
                "norm%",
                "pat%",
                "full%",
                "late%");
        for (int slots : SLOTS) {
            for (OverloadScenario.Older older : OverloadScenario.Older.values()) {
                printBoth(slots, older, seconds, seed);
            }
        }
        System.out.println("* urgent requests of the modest members answered in time");
    }

    private static void printBoth(int slots, OverloadScenario.Older older, int seconds, long seed) {
        OverloadScenario idle =
                new OverloadScenario(
                        slots, UNLOADED, OverloadScenario.Older.ABSENT, seconds * IDLE_TIMES, seed);
        double idleMillis = run(idle, OverloadPolicy.admission(slots)).urgentP99Millis();
        int maxQueued = AdmissionConfig.forSlots(slots).maxQueued();
        for (double load : LOADS) {
            OverloadScenario scenario = new OverloadScenario(slots, load, older, seconds, seed);
            print("fifo", scenario, run(scenario, new FifoPolicy(slots, maxQueued)), idleMillis);
            print(
                    "admission",
                    scenario,
                    run(scenario, OverloadPolicy.admission(slots)),
                    idleMillis);
        }
    }

    private static OverloadFigures run(OverloadScenario scenario, OverloadPolicy policy) {
        return new OverloadSimulation(scenario, policy).run();
    }

    private static void print(
            String policy, OverloadScenario scenario, OverloadFigures figures, double idleMillis) {
        System.out.printf(
                Locale.ROOT,
                "%-10s %5d %5.1f %-13s | %8.1f %9.1f %9.1f %9.2f %6.1f %6.1f %6.1f %6.1f %6.1f%n",
                policy,
                scenario.slots(),
                scenario.load(),
                scenario.older(),
                figures.goodputPercent(),
                figures.leastFairSharePercent(),
                figures.urgentP99Millis(),
                figures.urgentP99Millis() / idleMillis,
                figures.modestUrgentGoodPercent(),
                figures.goodPercent(Priority.NORMAL),
                figures.goodPercent(Priority.PATIENT),
                figures.fullPercent(),
                figures.latePercent());
    }
}
