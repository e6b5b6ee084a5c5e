package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Targets that fall sick every few seconds and then fail most of what they get, by laws that differ
 * from site to site and are told to nobody.
 *
 * <p>90 requests a second at 15 targets, two of three must not repeat; a healthy target fails 1.2
 * in 100. A failure comes at once, after some work, or at the end of it. Counted is what must not
 * repeat and fails. Without any care it would be the share of sick time times the rate of failures,
 * and 1.2 in 100 more: 26 in 100 in the first row.
 */
class EpisodeSimulationTest {
    private static final int TARGETS = 15;
    private static final double PER_SECOND = 90;
    private static final double IDEMPOTENT_SHARE = 0.33;
    private static final int SEEDS = 4;
    private static final int HANG_SEEDS = 12;

    /** An entry weighs health against load and distance, which leaves it a choice of a few. */
    private static final int CANDIDATES = 3;

    @ParameterizedTest
    @CsvSource({
        "2700, 0.3, 0.85, 1, 0.045",
        "2700, 0.3, 0.85, 30, 0.050",
        "900, 0.1, 0.85, 1, 0.035",
        "20000, 0.15, 0.6, 1, 0.020",
        "5000, 0.15, 0.45, 1, 0.025",
        "60000, 0.05, 0.9, 1, 0.020",
        "2700, 0.3, 0.85, 600, 0.120",
    })
    void fewRequestsFailUnderEveryEpisodeModel(
            double spellMillis, double sickShare, double fails, long failMillis, double bound) {
        assertThat(failedShare(spellMillis, sickShare, fails, failMillis, CANDIDATES))
                .isLessThan(bound);
    }

    /**
     * Targets that hang: nothing comes until patience is over, after 1.4 s, where answers take 0.3
     * to 0.9 s. Each target gets three requests a second.
     */
    @Test
    void detectsHungTargetsBeforeRunTimeout() {
        EpisodeSimulation.Site law =
                new EpisodeSimulation.Site(
                        TARGETS, 2_700, 0.3, 0.85, 1_400, 3 * TARGETS, IDEMPOTENT_SHARE);
        double waiting = 0;
        double looking = 0;
        for (int seed = 0; seed < HANG_SEEDS; seed++) {
            EpisodeSimulation blind =
                    new EpisodeSimulation(law, CANDIDATES, seed).withHangs().withoutChecks();
            EpisodeSimulation watching = new EpisodeSimulation(law, CANDIDATES, seed).withHangs();
            waiting += blind.run(60, 15).nonIdempotentFailedShare() / HANG_SEEDS;
            looking += watching.run(60, 15).nonIdempotentFailedShare() / HANG_SEEDS;
        }

        assertThat(looking).isLessThan(0.9 * waiting);
    }

    private static double failedShare(
            double spellMillis, double sickShare, double fails, long failMillis, int drawn) {
        EpisodeSimulation.Site law =
                new EpisodeSimulation.Site(
                        TARGETS,
                        spellMillis,
                        sickShare,
                        fails,
                        failMillis,
                        PER_SECOND,
                        IDEMPOTENT_SHARE);
        double failed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            failed +=
                    new EpisodeSimulation(law, drawn, seed).run(60, 15).nonIdempotentFailedShare()
                            / SEEDS;
        }
        return failed;
    }
}
