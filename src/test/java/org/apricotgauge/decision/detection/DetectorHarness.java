package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;

/** A detector with simulated targets, on a clock of its own. */
final class DetectorHarness {
    static final long FAILS = -1;
    static final long SHEDS = -2;
    static final DetectionOdds ODDS = new DetectionOdds(5, 1);

    final ServiceDetector mDetector;
    final String[] mIds;
    final TargetPresence[] mPresence;
    long mNowMillis;
    EjectionVerdicts mVerdicts;
    private final SplittableRandom mRandom = new SplittableRandom(42);
    private final int mSlots;

    DetectorHarness(int targets, int slots, int floorPercent) {
        Service service = new Service("pool", floorPercent, ODDS, 0, 100, null);
        mDetector = new ServiceDetector(service, 1);
        mSlots = slots;
        mIds = new String[targets];
        mPresence = new TargetPresence[targets];
        for (int i = 0; i < targets; i++) {
            mIds[i] = "t" + i;
            mPresence[i] = TargetPresence.PRESENT;
        }
        decide();
    }

    ConfiguredTargets configuredTargets() {
        List<ConfiguredTargets.ConfiguredTarget> targets = new ArrayList<>();
        for (int i = 0; i < mIds.length; i++) {
            targets.add(new ConfiguredTargets.ConfiguredTarget(mIds[i], mSlots, mPresence[i]));
        }
        return new ConfiguredTargets(targets);
    }

    void decide() {
        mVerdicts = mDetector.decide(mNowMillis, configuredTargets());
    }

    /** Returns a healthy service time around 20 ms. */
    long healthyMicros() {
        return (long) (20_000 * Math.exp(0.4 * gaussian()));
    }

    private double gaussian() {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += mRandom.nextDouble();
        }
        return sum;
    }

    /**
     * Sends rounds of one request to each eligible target, 100 ms apart.
     *
     * @param serviceMicros service time of a target by its id, or {@link #FAILS} or {@link #SHEDS}
     */
    void rounds(int rounds, ObservationPoint point, ToLongFunction<String> serviceMicros) {
        for (int round = 0; round < rounds; round++) {
            mNowMillis += 100;
            for (String id : mIds) {
                if (mVerdicts.isEligible(id) || mVerdicts.probesDue().contains(id)) {
                    observe(id, point, serviceMicros.applyAsLong(id));
                }
            }
            decide();
        }
    }

    void observe(String id, ObservationPoint point, long micros) {
        ObservedOutcome outcome = ObservedOutcome.SUCCESS;
        if (micros == FAILS) {
            outcome =
                    point == ObservationPoint.GUARD
                            ? ObservedOutcome.TARGET_ERROR
                            : ObservedOutcome.PATH_FAULT;
        } else if (micros == SHEDS) {
            outcome = ObservedOutcome.SHED;
        }
        mDetector.observe(
                new Observation(
                        id, point, outcome, Math.max(0, micros), mNowMillis, Observation.NO_KEY));
    }

    void healthy(int rounds) {
        rounds(rounds, ObservationPoint.GUARD, id -> healthyMicros());
    }

    /** Runs until a target is ejected; returns the number of rounds, or the limit plus 1. */
    int roundsToEjection(String target, int limit, ToLongFunction<String> serviceMicros) {
        for (int round = 1; round <= limit; round++) {
            rounds(1, ObservationPoint.GUARD, serviceMicros);
            if (!mVerdicts.isEligible(target)) {
                return round;
            }
        }
        return limit + 1;
    }

    boolean allEligible() {
        for (String id : mIds) {
            if (!mVerdicts.isEligible(id)) {
                return false;
            }
        }
        return true;
    }
}
