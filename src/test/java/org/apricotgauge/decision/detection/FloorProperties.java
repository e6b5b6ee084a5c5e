package org.apricotgauge.decision.detection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.apricotgauge.model.Service;
import org.junit.jupiter.api.Test;

class FloorProperties {
    private static final int TARGETS = 6;
    private static final int SLOTS = 3;

    /** One step of a simulation: an action, its target and the number of repetitions. */
    record Step(Action action, int target, int times) {}

    enum Action {
        FAIL,
        SLOW,
        SUCCEED,
        FAIL_PATH,
        FAIL_REMOTELY,
        LEAVE,
        TERMINATE,
        RAMP,
        RETURN,
        CHANGE_FLOOR,
        WAIT
    }

    @Provide
    Arbitrary<List<Step>> runs() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(Action.class),
                                Arbitraries.integers().between(0, TARGETS - 1),
                                Arbitraries.integers().between(1, 30))
                        .as(Step::new);
        return step.list().ofMinSize(5).ofMaxSize(60);
    }

    /*
     * Any sequence of evidence, target presence and floors. After every decision the capacity is
     * counted independently: while any target is ejected, the targets left in service reach the
     * floor.
     */
    @Property(seed = "6", tries = 1_000)
    void ejectionsNeverBreakTheFloor(
            @ForAll("runs") List<Step> steps, @ForAll @IntRange(max = 100) int floorPercent) {
        Simulation simulation = new Simulation(floorPercent);
        for (Step step : steps) {
            simulation.apply(step);
            simulation.checkAgainstOracle();
        }
    }

    /*
     * Nodes have different evidence, as in a partition, and each keeps the floor by itself. Then
     * any set of entries together reaches at least the floor's slots, so that a load of up to the
     * floor can be served however it is distributed over the entries (Hall 1935).
     */
    @Property(seed = "7", tries = 300)
    void everySetOfEntriesReachesTheFloorDespiteDifferingEvidence(
            @ForAll("runs") List<Step> first, @ForAll("runs") List<Step> second) {
        Simulation one = new Simulation(60);
        Simulation other = new Simulation(60);
        first.stream().filter(step -> !changesCapacity(step)).forEach(one::apply);
        second.stream().filter(step -> !changesCapacity(step)).forEach(other::apply);
        Set<String> union = new HashSet<>(one.eligible());
        union.addAll(other.eligible());
        assertThat(one.eligible().size() * SLOTS).isGreaterThanOrEqualTo(11);
        assertThat(other.eligible().size() * SLOTS).isGreaterThanOrEqualTo(11);
        assertThat(union.size() * SLOTS).isGreaterThanOrEqualTo(11);
    }

    private static boolean changesCapacity(Step step) {
        return switch (step.action()) {
            case LEAVE, TERMINATE, RAMP, RETURN, CHANGE_FLOOR -> true;
            default -> false;
        };
    }

    @Test
    void throwsWhenEjectionsBreakTheFloor() {
        ConfiguredTargets configuredTargets =
                new ConfiguredTargets(
                        List.of(
                                new ConfiguredTargets.ConfiguredTarget(
                                        "t0", 3, TargetPresence.PRESENT),
                                new ConfiguredTargets.ConfiguredTarget(
                                        "t1", 3, TargetPresence.PRESENT)));
        Map<String, EjectionVerdict> verdicts = new HashMap<>();
        verdicts.put("t0", verdict("t0", VerdictState.EJECTED));
        verdicts.put("t1", verdict("t1", VerdictState.HEALTHY));
        assertThatIllegalStateException()
                .isThrownBy(() -> FloorPolicy.eligibleSlots(verdicts, configuredTargets, 4))
                .withMessageContaining("leave 3 slots, the floor is 4");
    }

    private static EjectionVerdict verdict(String id, VerdictState state) {
        return new EjectionVerdict(id, state, 0, VerdictScope.TARGET, 0, 1, false, "");
    }

    /** A detector that the steps are applied to, and the oracle that counts its capacity. */
    private static final class Simulation {
        private final DetectorHarness mPool;
        private final ServiceDetector mRemote;
        private int mFloorPercent;
        private EjectionVerdicts mVerdicts;
        private ServiceDetector mDetector;

        Simulation(int floorPercent) {
            mPool = new DetectorHarness(TARGETS, SLOTS, floorPercent);
            mPool.healthy(20);
            mDetector = mPool.mDetector;
            mVerdicts = mPool.mVerdicts;
            mFloorPercent = floorPercent;
            mRemote = new DetectorHarness(TARGETS, SLOTS, 0).mDetector;
            mDetector.mergeRemote("remote", mRemote.digest(), mPool.mNowMillis);
        }

        void apply(Step step) {
            String id = mPool.mIds[step.target()];
            for (int i = 0; i < step.times(); i++) {
                mPool.mNowMillis += 20;
                observe(step.action(), id);
            }
            switch (step.action()) {
                case LEAVE -> mPool.mPresence[step.target()] = TargetPresence.LEAVING;
                case TERMINATE -> mPool.mPresence[step.target()] = TargetPresence.TERMINATED;
                case RAMP -> mPool.mPresence[step.target()] = TargetPresence.RAMPING;
                case RETURN -> mPool.mPresence[step.target()] = TargetPresence.PRESENT;
                case CHANGE_FLOOR -> changeFloor(step.times() * 3);
                case WAIT -> mPool.mNowMillis += step.times() * 1_000L;
                default -> {}
            }
            mVerdicts = mDetector.decide(mPool.mNowMillis, mPool.configuredTargets());
        }

        private void observe(Action action, String id) {
            long micros = mPool.healthyMicros();
            switch (action) {
                case FAIL -> mPool.observe(id, ObservationPoint.GUARD, DetectorHarness.FAILS);
                case SLOW -> mPool.observe(id, ObservationPoint.GUARD, 10 * micros);
                case SUCCEED -> mPool.observe(id, ObservationPoint.GUARD, micros);
                case FAIL_PATH -> mPool.observe(id, ObservationPoint.ENTRY, DetectorHarness.FAILS);
                case FAIL_REMOTELY -> failRemotely(id);
                default -> {}
            }
        }

        private void failRemotely(String id) {
            mRemote.observe(
                    new Observation(
                            id,
                            ObservationPoint.GUARD,
                            ObservedOutcome.TIMEOUT,
                            0,
                            mPool.mNowMillis,
                            Observation.NO_KEY));
            mDetector.mergeRemote("remote", mRemote.digest(), mPool.mNowMillis);
        }

        private void changeFloor(int percent) {
            mFloorPercent = percent;
            mDetector.update(new Service("pool", percent, DetectorHarness.ODDS, 0, 100, null));
        }

        Set<String> eligible() {
            Set<String> eligible = new HashSet<>();
            for (String id : mPool.mIds) {
                if (mVerdicts.isEligible(id)) {
                    eligible.add(id);
                }
            }
            return eligible;
        }

        void checkAgainstOracle() {
            int floorSlots = (TARGETS * SLOTS * mFloorPercent + 99) / 100;
            int eligibleSlots = 0;
            boolean isAnyEjected = false;
            for (int i = 0; i < TARGETS; i++) {
                boolean isPresent = mPool.mPresence[i] == TargetPresence.PRESENT;
                boolean isEligible = mVerdicts.isEligible(mPool.mIds[i]);
                eligibleSlots += isPresent && isEligible ? SLOTS : 0;
                isAnyEjected |= isPresent && !isEligible;
            }
            assertThat(!isAnyEjected || eligibleSlots >= floorSlots)
                    .as("%d slots eligible, floor %d", eligibleSlots, floorSlots)
                    .isTrue();
            assertThat(mVerdicts.eligibleSlots()).isEqualTo(eligibleSlots);
        }
    }
}
