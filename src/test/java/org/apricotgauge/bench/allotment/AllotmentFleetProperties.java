package org.apricotgauge.bench.allotment;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A fleet under hot members, lost datagrams, lists of nodes that change, cuts and kills: the sum
 * over all nodes holds.
 */
class AllotmentFleetProperties {
    private static final double OVER_SHARE = 0.25;
    private static final double SLACK = 20;

    /** Part of the time for which a faulty node is cut off. */
    private static final double CUT_OFF_SHARE = 0.3;

    // Guards against limits that hold at each node and not over all of them.
    @Property(tries = 40, seed = "20261203")
    void noMemberRunsMoreThanItsLimitAllows(
            @ForAll @IntRange(min = 2, max = 60) int nodes,
            @ForAll @DoubleRange(min = 0, max = 0.6) double faultShare,
            @ForAll @DoubleRange(min = 0, max = 0.1) double loss,
            @ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
        AllotmentFleet.Result result = play(nodes, faultShare, loss, seed);

        assertThat(result.worstShare()).isLessThanOrEqualTo(1);
    }

    // Guards against members within their limits that are refused since none of a hundred nodes
    // sees enough of them.
    @Test
    void whatLiesWithinALimitIsServed() {
        assertThat(play(106, 0, 0.01, 1).refusedShare()).isLessThan(0.01);
    }

    // Answers a member at several times its usual beside members within their limits, while nodes
    // leave the lists, are cut off and are killed. Guards against saved tokens that are lost with
    // an owner, and against members whose owner and backup owner are both out of reach.
    @ParameterizedTest
    @CsvSource({"6, 0", "6, 0.3", "88, 0", "88, 0.3", "1000, 0", "1000, 0.3"})
    void whatLiesWithinALimitIsServedWhileNodesFail(int nodes, double faultShare) {
        AllotmentFleet.Result result = play(nodes, faultShare, 0.01, 1);

        assertThat(result.refusedShare()).isLessThan(0.01);
        assertThat(result.hotLostShare()).isLessThan(0.01);
        assertThat(result.unknownShare()).isLessThanOrEqualTo(faultShare * CUT_OFF_SHARE);
        assertThat(result.worstShare()).isLessThanOrEqualTo(1);
    }

    private static AllotmentFleet.Result play(int nodes, double faultShare, double loss, int seed) {
        return new AllotmentFleet(MeasureAllotments.members(), nodes, faultShare, seed)
                .play(
                        fleet ->
                                new AskedHomes(
                                        fleet.members(),
                                        fleet.nodes(),
                                        fleet::nowMillis,
                                        new FallbackQuota.Tolerance(
                                                AllotmentFleet.WINDOW_SECONDS, OVER_SHARE, SLACK),
                                        loss,
                                        seed),
                        OVER_SHARE,
                        SLACK);
    }
}
