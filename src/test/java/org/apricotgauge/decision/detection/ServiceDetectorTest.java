package org.apricotgauge.decision.detection;

import static org.apricotgauge.decision.detection.DetectorHarness.FAILS;
import static org.apricotgauge.decision.detection.DetectorHarness.SHEDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.Service;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceDetectorTest {
    private DetectorHarness mPool;

    @BeforeEach
    void warmUp() {
        mPool = new DetectorHarness(9, 3, 60);
        mPool.healthy(300);
        assertThat(mPool.allEligible()).isTrue();
    }

    /*
     * A target answers its health check but fails every request. Callers get errors on one in nine
     * requests until the guard's evidence crosses the threshold, after four requests.
     */
    @Test
    void ejectsATargetThatFailsEveryRequest() {
        int rounds =
                mPool.roundsToEjection(
                        "t3", 20, id -> id.equals("t3") ? FAILS : mPool.healthyMicros());
        assertThat(rounds).isLessThanOrEqualTo(5);
        EjectionVerdict verdict = mPool.mVerdicts.byTarget().get("t3");
        assertThat(verdict.state()).isEqualTo(VerdictState.EJECTED);
        assertThat(verdict.evidence()).contains("beside the target: failing", "nats of");
    }

    /*
     * A target answers every request, but three times slower. No request fails, so rules on errors
     * don't detect it; compared with the other targets it stands out after about ten requests.
     */
    @Test
    void ejectsASlowTarget() {
        int rounds =
                mPool.roundsToEjection(
                        "t3", 50, id -> mPool.healthyMicros() * (id.equals("t3") ? 3 : 1));
        assertThat(rounds).isLessThanOrEqualTo(20);
    }

    /*
     * A target hangs: it accepts requests and answers none. With deadlines of many seconds callers
     * would wait for all of them; observed as unresponsive while they run, four are enough.
     */
    @Test
    void ejectsATargetThatHangs() {
        long unresponsiveMicros = mPool.mDetector.unresponsiveAfterMicros(ObservationPoint.GUARD);
        assertThat(unresponsiveMicros).isBetween(80_000L, 300_000L);
        for (int i = 0; i < 4; i++) {
            mPool.mNowMillis += 100;
            for (String id : mPool.mIds) {
                if (!id.equals("t3")) {
                    mPool.observe(id, ObservationPoint.GUARD, mPool.healthyMicros());
                }
            }
            mPool.mDetector.observe(
                    new Observation(
                            "t3",
                            ObservationPoint.GUARD,
                            ObservedOutcome.UNRESPONSIVE,
                            unresponsiveMicros,
                            mPool.mNowMillis,
                            Observation.NO_KEY));
            mPool.decide();
        }
        assertThat(mPool.mVerdicts.isEligible("t3")).isFalse();
    }

    /*
     * A partial fault: one member's requests, every fourth here, fail at one target only. Most of
     * its answers are successes, so there are never five consecutive errors.
     */
    @Test
    void ejectsATargetThatFailsOneMember() {
        int round = 0;
        while (mPool.mVerdicts.isEligible("t3") && round < 60) {
            round++;
            mPool.healthy(1);
            if (round % 3 == 0) {
                mPool.mDetector.observe(
                        new Observation(
                                "t3",
                                ObservationPoint.GUARD,
                                ObservedOutcome.TARGET_ERROR,
                                5_000,
                                mPool.mNowMillis,
                                77));
            }
        }
        assertThat(round).isLessThanOrEqualTo(40);
        assertThat(mPool.mVerdicts.byTarget().get("t3").evidence())
                .contains("one route and member");
    }

    /*
     * The whole service becomes five times slower at once, as in a global overload. Each target
     * crosses its threshold against the baseline of the minutes before; ejecting any of them would
     * put its load on the rest.
     */
    @Test
    void ejectsNoTargetWhenTheWholeServiceSlowsDown() {
        for (int round = 0; round < 300; round++) {
            mPool.rounds(1, ObservationPoint.GUARD, id -> 5 * mPool.healthyMicros());
            assertThat(mPool.allEligible()).as("round %d", round).isTrue();
        }
    }

    /*
     * An overload begins, and by chance one target's slow answers arrive first. The other targets
     * are as slow, but their answers are still pending; until they arrive, no target is ejected.
     */
    @Test
    void waitsForAnswersOfTheOtherTargets() {
        for (int i = 0; i < 6; i++) {
            mPool.mNowMillis += 20;
            mPool.observe("t3", ObservationPoint.GUARD, 5 * mPool.healthyMicros());
            mPool.decide();
            assertThat(mPool.allEligible()).isTrue();
        }
    }

    /*
     * A failure domain of three targets slows down. They may be ejected as far as the floor allows,
     * but no target of another domain may.
     */
    @Test
    void ejectsNoTargetOutsideASlowFailureDomain() {
        List<String> domain = List.of("t0", "t3", "t6");
        for (int round = 0; round < 15; round++) {
            mPool.rounds(
                    1,
                    ObservationPoint.GUARD,
                    id -> mPool.healthyMicros() * (domain.contains(id) ? 3 : 1));
            for (String id : mPool.mIds) {
                assertThat(domain.contains(id) || mPool.mVerdicts.isEligible(id)).isTrue();
            }
        }
        assertThat(domain).noneMatch(mPool.mVerdicts::isEligible);
    }

    /*
     * A target sheds half its requests with 503 as it is at its limit. Counted as errors, these
     * would eject it and push the next target over its limit.
     */
    @Test
    void doesNotEjectForLoadShedding() {
        int[] request = {0};
        mPool.rounds(
                200,
                ObservationPoint.GUARD,
                id -> id.equals("t3") && ++request[0] % 2 == 0 ? SHEDS : mPool.healthyMicros());
        assertThat(mPool.allEligible()).isTrue();
    }

    /*
     * A restarted target answers slowly during its cold start, and fast after it. Its slow answers
     * count neither against it nor in the other targets' baseline.
     */
    @Test
    void ignoresSlownessDuringColdStart() {
        mPool.mPresence[3] = TargetPresence.RAMPING;
        mPool.rounds(
                50,
                ObservationPoint.GUARD,
                id -> mPool.healthyMicros() * (id.equals("t3") ? 20 : 1));
        assertThat(mPool.mVerdicts.isEligible("t3")).isTrue();
        mPool.mPresence[3] = TargetPresence.PRESENT;
        for (int round = 0; round < 100; round++) {
            mPool.healthy(1);
            assertThat(mPool.allEligible()).isTrue();
        }
    }

    /*
     * The answers from one target to this entry are lost in a one-way partition, while the guard
     * observes successes. This entry ejects the target; a node that receives its digest doesn't.
     */
    @Test
    void limitsAPathFaultToThisEntry() {
        DetectorHarness other = new DetectorHarness(9, 3, 60);
        for (int round = 0; round < 100; round++) {
            mPool.rounds(
                    1,
                    ObservationPoint.ENTRY,
                    id -> id.equals("t3") ? FAILS : mPool.healthyMicros());
            mPool.observe("t3", ObservationPoint.GUARD, mPool.healthyMicros());
            other.mNowMillis = mPool.mNowMillis;
            other.mDetector.mergeRemote("entry", mPool.mDetector.digest(), other.mNowMillis);
            other.decide();
            assertThat(other.allEligible()).isTrue();
        }
        EjectionVerdict verdict = mPool.mVerdicts.byTarget().get("t3");
        assertThat(verdict.isEligible()).isFalse();
        assertThat(verdict.scope()).isEqualTo(VerdictScope.PATH);
    }

    /*
     * One entry observes failures of a target and reports them. The target has no guard, so the
     * other nodes have no better evidence; still, one entry alone may have a broken path. Once a
     * second and a third entry report the same, the target is ejected.
     */
    @Test
    void ejectsOnRemoteEntryEvidenceOnlyByQuorum() {
        DetectorHarness other = new DetectorHarness(9, 3, 60);
        ServiceDetector[] entries = new ServiceDetector[3];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = new DetectorHarness(9, 3, 60).mDetector;
        }
        for (int round = 0; round < 120; round++) {
            other.mNowMillis += 100;
            int failing = round < 60 ? 0 : round < 90 ? 1 : entries.length;
            for (int i = 0; i < entries.length; i++) {
                observeAll(entries[i], other, i < failing);
                other.mDetector.mergeRemote("e" + i, entries[i].digest(), other.mNowMillis);
            }
            other.decide();
            assertThat(other.allEligible() || round >= 90).as("round %d", round).isTrue();
        }
        assertThat(other.mVerdicts.isEligible("t3")).isFalse();
    }

    private static void observeAll(
            ServiceDetector entry, DetectorHarness pool, boolean observesFailures) {
        for (String id : pool.mIds) {
            boolean isFailing = observesFailures && id.equals("t3");
            entry.observe(
                    new Observation(
                            id,
                            ObservationPoint.ENTRY,
                            isFailing ? ObservedOutcome.TARGET_ERROR : ObservedOutcome.SUCCESS,
                            pool.healthyMicros(),
                            pool.mNowMillis,
                            Observation.NO_KEY));
        }
    }

    /*
     * A node without requests of its own gets a guard's digests late, duplicated and out of order.
     * It ejects the failing target nevertheless, and counts nothing twice: that takes four failed
     * requests.
     */
    @Test
    void ejectsOnGuardDigestsOfAnotherNode() {
        DetectorHarness other = new DetectorHarness(9, 3, 60);
        EvidenceDigest last = mPool.mDetector.digest();
        for (int round = 0; round < 60; round++) {
            boolean isFailing = round >= 50;
            mPool.rounds(
                    1,
                    ObservationPoint.GUARD,
                    id -> isFailing && id.equals("t3") ? FAILS : mPool.healthyMicros());
            EvidenceDigest digest = mPool.mDetector.digest();
            other.mNowMillis = mPool.mNowMillis;
            other.mDetector.mergeRemote("guard", digest, other.mNowMillis);
            other.mDetector.mergeRemote("guard", digest, other.mNowMillis);
            other.mDetector.mergeRemote("guard", last, other.mNowMillis);
            other.decide();
            last = digest;
            assertThat(other.mVerdicts.isEligible("t3") || round >= 53).isTrue();
        }
        assertThat(other.mVerdicts.isEligible("t3")).isFalse();
    }

    /*
     * A target fails, is ejected, recovers, and is probed by at most four single requests per
     * second. A few successes readmit it.
     */
    @Test
    void readmitsAfterAFewProbes() {
        mPool.roundsToEjection("t3", 20, id -> id.equals("t3") ? FAILS : mPool.healthyMicros());
        int[] probes = {0};
        mPool.rounds(
                60,
                ObservationPoint.GUARD,
                id -> {
                    probes[0] += id.equals("t3") && !mPool.mVerdicts.isEligible("t3") ? 1 : 0;
                    return mPool.healthyMicros();
                });
        assertThat(mPool.mVerdicts.isEligible("t3")).isTrue();
        assertThat(probes[0]).isBetween(2, 8);
    }

    /*
     * A target repeatedly succeeds for 10 s and fails for 10 s. Each readmission costs callers a
     * few errors; the ejection time doubles, so that the errors become rare.
     */
    @Test
    void errorsOfAFlappingTargetBecomeRare() {
        int[] errors = new int[2];
        for (int half = 0; half < 2; half++) {
            for (int round = 0; round < 6_000; round++) {
                boolean isFailing = round / 100 % 2 == 0;
                int currentHalf = half;
                mPool.rounds(
                        1,
                        ObservationPoint.GUARD,
                        id -> {
                            if (!isFailing || !id.equals("t3")) {
                                return mPool.healthyMicros();
                            }
                            errors[currentHalf]++;
                            return FAILS;
                        });
            }
        }
        assertThat(errors[0]).isLessThan(100);
        assertThat(errors[1]).isLessThan(errors[0] / 2);
    }

    /*
     * Three targets are ejected, which brings the service down to its floor. Then a healthy one
     * terminates: the least degraded of the three, the slow one, returns with the next decision.
     */
    @Test
    void readmitsTheLeastDegradedTargetWhenCapacityIsLost() {
        mPool.rounds(
                150,
                ObservationPoint.GUARD,
                id ->
                        switch (id) {
                            case "t0", "t1" -> FAILS;
                            case "t2" -> 2 * mPool.healthyMicros();
                            default -> mPool.healthyMicros();
                        });
        assertThat(List.of("t0", "t1", "t2")).noneMatch(mPool.mVerdicts::isEligible);
        mPool.mPresence[8] = TargetPresence.TERMINATED;
        mPool.decide();
        assertThat(mPool.mVerdicts.isEligible("t2")).isTrue();
        assertThat(mPool.mVerdicts.byTarget().get("t2").keptByFloor()).isTrue();
        assertThat(mPool.mVerdicts.weight("t2")).isLessThan(0.2);
        assertThat(List.of("t0", "t1")).noneMatch(mPool.mVerdicts::isEligible);
    }

    /*
     * Low traffic: one request to each target in ten seconds. A target that fails every request is
     * detected within five requests, and time alone adds no evidence.
     */
    @Test
    void ejectsAFailingTargetAtLowTraffic() {
        DetectorHarness lowTraffic = new DetectorHarness(6, 3, 60);
        for (int i = 0; i < 200; i++) {
            lowTraffic.mNowMillis += 9_900;
            lowTraffic.healthy(1);
        }
        int requests = 0;
        while (lowTraffic.mVerdicts.isEligible("t3") && requests < 20) {
            requests++;
            lowTraffic.mNowMillis += 9_900;
            lowTraffic.rounds(
                    1,
                    ObservationPoint.GUARD,
                    id -> id.equals("t3") ? FAILS : lowTraffic.healthyMicros());
        }
        assertThat(requests).isLessThanOrEqualTo(5);
    }

    @Test
    void requiresMoreEvidenceWhenFalseEjectionsCostMore() {
        Service service = new Service("s", 60, DetectorHarness.ODDS, 0, 100, null);
        double costly = DetectionThreshold.nats(service.detection(), 10, 1);
        double cheap =
                DetectionThreshold.nats(new org.apricotgauge.model.DetectionOdds(1, 20), 10, 1);
        assertThat(costly).isGreaterThan(cheap);
    }
}
