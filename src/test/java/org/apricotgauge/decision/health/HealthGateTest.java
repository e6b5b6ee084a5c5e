package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.apricotgauge.decision.health.HealthGate.TargetRestriction;
import org.junit.jupiter.api.Test;

/** Decisions of a guard on targets with gray-failure episodes of some seconds. */
class HealthGateTest {
    private static final long ANSWER_MILLIS = 200;
    private static final long SECOND = 1_000;

    @Test
    void oneFailureKeepsNonIdempotentRequestsAway() {
        // Guards against losing further bookings at a target that has just failed one: waiting for
        // a second or third failure would lose a second or third booking. How long the target
        // receives no bookings follows from the earlier episodes, which last 2.7 s here.
        HealthGate gate = new HealthGate();
        long start = simulate(gate, 240);
        ended(gate, false, start);
        assertThat(maySendNonIdempotent(gate, start + 1)).isTrue();

        ended(gate, true, start + 2 * SECOND);

        assertThat(maySendNonIdempotent(gate, start + 2 * SECOND)).isFalse();
        assertThat(maySendNonIdempotent(gate, start + 5 * SECOND)).isFalse();
        assertThat(maySendNonIdempotent(gate, start + 12 * SECOND)).isTrue();
    }

    @Test
    void firstFailureWithoutHistoryMakesTargetSuspect() {
        HealthGate gate = new HealthGate();
        ended(gate, false, 0);

        ended(gate, true, 2 * SECOND);

        assertThat(maySendNonIdempotent(gate, 3 * SECOND)).isFalse();
    }

    @Test
    void idempotentRequestsProbeSuspectTargetOneAtATime() {
        // Guards against wasted retries: a target that is probed right after its failure fails
        // again, and the retry that this costs is not available elsewhere.
        HealthGate gate = new HealthGate();
        ended(gate, true, 0);
        assertThat(mayProbe(gate, 1)).isFalse();

        long now = 1;
        while (!mayProbe(gate, now)) {
            now++;
        }

        assertThat(now).isBetween(200L, 8 * SECOND);
        assertThat(mayProbe(gate, now + 1)).isFalse();
        assertThat(mayProbe(gate, now + HealthGate.PROBE_INTERVAL_MILLIS)).isTrue();
    }

    @Test
    void fewSuccessesClearSuspicion() {
        HealthGate gate = new HealthGate();
        ended(gate, true, 0);
        ended(gate, false, 100);
        ended(gate, false, 200);
        ended(gate, false, 300);

        assertThat(maySendNonIdempotent(gate, 301)).isTrue();
    }

    @Test
    void answersToRequestsFromBeforeEpisodeDoNotClearTarget() {
        // Seven requests are running when their target degrades, and the next one is reset at once.
        // The seven are answered within the second, which shows only that the target was healthy
        // before. If they counted as new evidence, bookings would be sent into the episode.
        HealthGate gate = new HealthGate();
        HealthGate.Run[] before = new HealthGate.Run[7];
        for (int i = 0; i < before.length; i++) {
            before[i] = gate.started(i);
        }
        ended(gate, true, 100);

        for (int i = 0; i < before.length; i++) {
            gate.stillRunning(before[i], 101);
            gate.ended(before[i], false, 200 + 100 * i);
        }

        assertThat(maySendNonIdempotent(gate, 900)).isFalse();
    }

    @Test
    void stillRunningRequestIsEvidenceWhereFailuresAreFast() {
        HealthGate gate = new HealthGate();
        long now = simulate(gate, 60);
        ended(gate, false, now);
        now += 3 * SECOND;
        double before = probability(gate, now);

        HealthGate.Run run = gate.started(now);
        long checkMillis = run.checkMillis();
        assertThat(checkMillis).isLessThan(50);
        gate.stillRunning(run, now + checkMillis);

        assertThat(probability(gate, now + checkMillis)).isLessThan(before / 2);
    }

    @Test
    void stillRunningRequestIsWeakEvidenceWhereFailuresAreSlow() {
        HealthGate gate = new HealthGate();
        for (int i = 0; i < 20; i++) {
            HealthGate.Run run = gate.started(i * 10 * SECOND);
            gate.ended(run, true, i * 10 * SECOND + 600);
            ended(gate, false, i * 10 * SECOND + 5 * SECOND);
        }
        long now = 203 * SECOND;
        double before = probability(gate, now);

        HealthGate.Run run = gate.started(now);
        gate.stillRunning(run, now + 100);

        assertThat(probability(gate, now + 100)).isCloseTo(before, within(0.05));
    }

    // Guards against treating slow targets as hung where degraded ones fail at once.
    @Test
    void timeoutMeansHungOnlyWhereFailuresAreTimeouts() {
        HealthGate failsAtOnce = new HealthGate();
        HealthGate hangs = new HealthGate();
        for (int i = 0; i < 20; i++) {
            long now = i * 10 * SECOND;
            ended(failsAtOnce, true, now);
            hangs.endedWithoutAnswer(hangs.started(now), now + 4 * SECOND);
            ended(failsAtOnce, false, now + 5 * SECOND);
            ended(hangs, false, now + 5 * SECOND);
        }
        long now = 203 * SECOND;

        assertThat(failsAtOnce.diagnoseTimeout(failsAtOnce.started(now), now + SECOND))
                .isEqualTo(HealthGate.TimeoutDiagnosis.SLOW);
        assertThat(hangs.diagnoseTimeout(hangs.started(now), now + SECOND))
                .isEqualTo(HealthGate.TimeoutDiagnosis.HUNG);
    }

    @Test
    void requestWithoutAlternativeMayStart() {
        HealthGate gate = new HealthGate();
        ended(gate, true, 0);

        assertThat(gate.mayStart(TargetRestriction.NONE, 1)).isTrue();
    }

    @Test
    void estimateDecaysToBaselineWithoutObservations() {
        HealthGate gate = new HealthGate();
        ended(gate, true, 0);
        DegradationEstimate failed = gate.estimate(0);

        assertThat(failed.probability()).isGreaterThan(0.75);
        assertThat(failed.probabilityAt(600 * SECOND)).isCloseTo(failed.baseline(), within(0.001));
        DegradationEstimate.Report report = failed.toReport(0);
        assertThat(DegradationEstimate.Report.parse(report.toText())).contains(report);
        assertThat(DegradationEstimate.Report.parse("no,such,thing")).isEmpty();
    }

    @Test
    void fewerRequestsFailThanWithoutGate() {
        // Load: 4 requests per second at one target that is degraded for 2.7 s of every 9 s. It
        // fails 85 in 100 requests then, and 1 in 100 otherwise; every fourth request is
        // idempotent. Counts the failed share of the non-idempotent requests that started; without
        // the gate about 26 in 100 fail.
        SplittableRandom random = new SplittableRandom(7);
        HealthGate gate = new HealthGate();
        int failed = 0;
        int passed = 0;
        for (long now = 0; now < 3_600 * SECOND; now += 250) {
            boolean degraded = now % (9 * SECOND) < 2_700;
            boolean fails = random.nextDouble() < (degraded ? 0.85 : 0.01);
            TargetRestriction targetRestriction =
                    random.nextInt(4) == 0 ? TargetRestriction.MAY_TRY : TargetRestriction.STEADY;
            if (gate.mayStart(targetRestriction, now)) {
                ended(gate, fails, now);
                passed += targetRestriction == TargetRestriction.STEADY ? 1 : 0;
                failed += targetRestriction == TargetRestriction.STEADY && fails ? 1 : 0;
            }
        }

        assertThat((double) failed / passed).isLessThan(0.20);
    }

    /** Runs four requests per second, which fail for 2.7 s of every 9 s; returns the end time. */
    private static long simulate(HealthGate gate, long seconds) {
        long now = 0;
        for (; now < seconds * SECOND; now += 250) {
            ended(gate, now % (9 * SECOND) < 2_700, now);
        }
        return now;
    }

    /** Runs one request; a failure takes no time, an answer a fifth of a second. */
    private static void ended(HealthGate gate, boolean failed, long nowMillis) {
        HealthGate.Run run = gate.started(nowMillis);
        gate.ended(run, failed, failed ? nowMillis : nowMillis + ANSWER_MILLIS);
    }

    private static boolean maySendNonIdempotent(HealthGate gate, long nowMillis) {
        return gate.mayStart(TargetRestriction.STEADY, nowMillis);
    }

    private static boolean mayProbe(HealthGate gate, long nowMillis) {
        return gate.mayStart(TargetRestriction.MAY_TRY, nowMillis);
    }

    private static double probability(HealthGate gate, long nowMillis) {
        return gate.estimate(nowMillis).probabilityAt(nowMillis);
    }
}
