package org.apricotgauge.bench.allotment;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.ratelimit.FallbackQuota;

/**
 * Prints how three ways to keep members to their limits fare in fleets of several sizes.
 *
 * <pre>{@code
 * java -cp ... org.apricotgauge.bench.allotment.MeasureAllotments
 * }</pre>
 */
public final class MeasureAllotments {
    private static final int[] NODES = {6, 88, 1_000};
    private static final double[] FAULT_SHARES = {0, 0.3};
    private static final double OVER_SHARE = 0.25;
    private static final double SLACK = 20;
    private static final double HEADROOM = 1.6;
    private static final double LOSS = 0.01;
    private static final long SEED = 1;

    private MeasureAllotments() {}

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.printf(
                "%6s %7s  %-13s %10s %8s %8s %8s %16s%n",
                "nodes",
                "faulty",
                "way",
                "of allowed",
                "refused",
                "unknown",
                "hot lost",
                "datagrams/node/s");
        for (int nodes : NODES) {
            for (double faultShare : FAULT_SHARES) {
                print(nodes, faultShare, "even shares", MeasureAllotments::even);
                print(nodes, faultShare, "demand shares", MeasureAllotments::demand);
                print(nodes, faultShare, "asked homes", MeasureAllotments::homes);
            }
        }
    }

    private static void print(
            int nodes, double faultShare, String name, AllotmentFleet.WayFactory way) {
        AllotmentFleet.Result result =
                new AllotmentFleet(members(), nodes, faultShare, SEED).play(way, OVER_SHARE, SLACK);
        System.out.printf(
                "%6d %7.2f  %-13s %10.2f %8.4f %8.4f %8.4f %16.1f%n",
                nodes,
                faultShare,
                name,
                result.worstShare(),
                result.refusedShare(),
                result.unknownShare(),
                result.hotLostShare(),
                result.messagesPerSecond());
    }

    /** Returns a few large members, many small ones, and one of each kind that becomes hot. */
    static List<SimulatedMember> members() {
        List<SimulatedMember> members = new ArrayList<>();
        members.add(SimulatedMember.of(100, HEADROOM, 1));
        members.add(SimulatedMember.of(30, HEADROOM, 1));
        members.add(SimulatedMember.of(30, HEADROOM, 8));
        members.add(SimulatedMember.of(3, HEADROOM, 8));
        for (int i = 0; i < 40; i++) {
            members.add(SimulatedMember.of(0.5 + i / 10.0, HEADROOM, 1));
        }
        return members;
    }

    static AllotmentWay even(AllotmentFleet fleet) {
        return new EvenShares(fleet.members(), fleet.nodes(), fleet::nowMillis);
    }

    static AllotmentWay demand(AllotmentFleet fleet) {
        return new DemandShares(fleet.members(), fleet.nodes(), fleet::nowMillis);
    }

    static AllotmentWay homes(AllotmentFleet fleet) {
        return new AskedHomes(
                fleet.members(),
                fleet.nodes(),
                fleet::nowMillis,
                new FallbackQuota.Tolerance(AllotmentFleet.WINDOW_SECONDS, OVER_SHARE, SLACK),
                LOSS,
                SEED);
    }
}
