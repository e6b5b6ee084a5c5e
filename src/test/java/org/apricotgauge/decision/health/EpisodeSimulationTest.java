package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lost requests at targets that degrade every few seconds and then fail most of
 * their requests, under episode models that differ between sites and are not known to the gates.
 *
 * <p>90 requests per second at 15 targets; two of three are not idempotent. A healthy target fails
 * 1.2 in 100 requests. A failure takes no time, a part of an answer's time, or all of it. Counts
 * the failed share of the non-idempotent requests. Without gates it would be the share of degraded
 * time times the failure rate, plus 1.2 in 100: 26 in 100 in the first row.
 */
class EpisodeSimulationTest {
    private static final int TARGETS = 15;
    private static final double PER_SECOND = 90;
    private static final double IDEMPOTENT_SHARE = 0.33;
    private static final int SEEDS = 4;
    private static final int HANG_SEEDS = 12;

    /** An entry weighs health against load and distance, which leaves a few candidate targets. */
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
            double episodeMillis,
            double degradedShare,
            double failureRate,
            long failureMillis,
            double bound) {
        assertThat(
                        failedShare(
                                episodeMillis,
                                degradedShare,
                                failureRate,
                                failureMillis,
                                CANDIDATES))
                .isLessThan(bound);
    }

    /**
     * Guards against hung targets that are detected only by run timeouts. Failed requests get no
     * answer before the run timeout of 1.4 s, while answers take 0.3 to 0.9 s. Each target receives
     * three requests per second.
     */
    @Test
    void detectsHungTargetsBeforeRunTimeout() {
        EpisodeSimulation.Site site =
                new EpisodeSimulation.Site(
                        TARGETS, 2_700, 0.3, 0.85, 1_400, 3 * TARGETS, IDEMPOTENT_SHARE);
        double failedWithoutChecks = 0;
        double failedWithChecks = 0;
        for (int seed = 0; seed < HANG_SEEDS; seed++) {
            EpisodeSimulation withoutChecks =
                    new EpisodeSimulation(site, CANDIDATES, seed).withHangs().withoutChecks();
            EpisodeSimulation withChecks =
                    new EpisodeSimulation(site, CANDIDATES, seed).withHangs();
            failedWithoutChecks +=
                    withoutChecks.run(60, 15).nonIdempotentFailedShare() / HANG_SEEDS;
            failedWithChecks += withChecks.run(60, 15).nonIdempotentFailedShare() / HANG_SEEDS;
        }

        assertThat(failedWithChecks).isLessThan(0.9 * failedWithoutChecks);
    }

    private static double failedShare(
            double episodeMillis,
            double degradedShare,
            double failureRate,
            long failureMillis,
            int candidates) {
        EpisodeSimulation.Site site =
                new EpisodeSimulation.Site(
                        TARGETS,
                        episodeMillis,
                        degradedShare,
                        failureRate,
                        failureMillis,
                        PER_SECOND,
                        IDEMPOTENT_SHARE);
        double failed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            failed +=
                    new EpisodeSimulation(site, candidates, seed)
                                    .run(60, 15)
                                    .nonIdempotentFailedShare()
                            / SEEDS;
        }
        return failed;
    }
}
