package org.apricotgauge.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;

/**
 * One course of a pool: quiet hours, a peak, and a fault until it is detected.
 *
 * <p>Requests come by a Poisson process and go to an eligible target by weight; where its slots are
 * taken, to another; where all are taken, nowhere.
 */
final class Episode {
    private static final long PEAK_BEFORE_FAULT_MILLIS = 30_000;
    private static final long AFTER_DETECTION_MILLIS = 5_000;
    private static final long OVERLOAD_MILLIS = 120_000;
    private static final long DECIDE_MILLIS = 100;
    private static final long QUIET_DECIDE_MILLIS = 1_000;
    private static final int MAX_DRAWS = 64;
    private static final long ERROR_MICROS = 5_000;
    private static final long PATH_FAULT_MICROS = 100_000;
    private static final double OVERLOAD_SHED = 0.3;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_HOUR = 3_600_000;

    private final SimulatedPool mPool;
    private final Fault mFault;
    private final EjectionPolicy mPolicy;
    private final RandomGenerator mRandom;
    private final long mFaultMillis;
    private final PriorityQueue<Completion> mCompletions = new PriorityQueue<>();
    private final int[] mInFlight;
    private final boolean[] mIsSick;
    private final boolean[] mWasEligible;
    private final long[] mDetectedMillis;
    private int mFalseEjections;
    private int mWanted;
    private int mDetected;
    private long mEndMillis;

    /** A request that ends at a time, as both ends see it. */
    private record Completion(
            long timeMicros, int target, ObservedOutcome outcome, long micros, boolean isCut)
            implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Long.compare(timeMicros, other.timeMicros);
        }
    }

    Episode(
            SimulatedPool pool,
            Fault fault,
            EjectionPolicy policy,
            RandomGenerator random,
            long quietMillis) {
        mPool = pool;
        mFault = fault;
        mPolicy = policy;
        mRandom = random;
        mFaultMillis =
                quietMillis + PEAK_BEFORE_FAULT_MILLIS + (long) (random.nextDouble() * 10_000);
        mInFlight = new int[pool.targets()];
        mIsSick = new boolean[pool.targets()];
        mWasEligible = new boolean[pool.targets()];
        Arrays.fill(mWasEligible, true);
        mDetectedMillis = new long[pool.targets()];
        boolean isOverload = fault.scope() == Fault.Scope.ALL;
        mEndMillis = mFaultMillis + (isOverload ? OVERLOAD_MILLIS : pool.capMillis());
        chooseSick();
    }

    private void chooseSick() {
        int first = mRandom.nextInt(mPool.targets());
        for (int i = 0; i < mPool.targets(); i++) {
            switch (mFault.scope()) {
                case TARGET:
                case PATH:
                    mIsSick[i] = i == first;
                    break;
                case FAILURE_DOMAIN:
                    mIsSick[i] =
                            i % SimulatedPool.FAILURE_DOMAINS
                                    == first % SimulatedPool.FAILURE_DOMAINS;
                    break;
                default:
                    mIsSick[i] = true;
                    break;
            }
            mWanted += mIsSick[i] && mFault.scope() != Fault.Scope.ALL ? 1 : 0;
        }
    }

    EpisodeResult run() {
        long arrivalMicros = 0;
        long decideMillis = 0;
        while (true) {
            long completionMicros =
                    mCompletions.isEmpty() ? Long.MAX_VALUE : mCompletions.peek().timeMicros();
            long nextMicros =
                    Math.min(decideMillis * 1_000, Math.min(arrivalMicros, completionMicros));
            if (nextMicros / 1_000 >= mEndMillis) {
                return result();
            }
            if (nextMicros == completionMicros) {
                complete(mCompletions.poll());
            } else if (nextMicros == arrivalMicros) {
                arrive(arrivalMicros);
                arrivalMicros += gapMicros(arrivalMicros / 1_000);
            } else {
                mPolicy.decide(decideMillis);
                note(decideMillis);
                probe(decideMillis);
                decideMillis += isPeak(decideMillis) ? DECIDE_MILLIS : QUIET_DECIDE_MILLIS;
            }
        }
    }

    private boolean isPeak(long nowMillis) {
        return nowMillis >= mFaultMillis - PEAK_BEFORE_FAULT_MILLIS;
    }

    private long gapMicros(long nowMillis) {
        double rate = isPeak(nowMillis) ? mPool.peakRatePerSecond() : mPool.dayRatePerSecond();
        return 1
                + (long) (mRandom.nextExponential() * MICROS_PER_SECOND / (rate * mPool.targets()));
    }

    /** Draws targets until one takes the request; the chance of each goes by its weight. */
    private void arrive(long nowMicros) {
        for (int draw = 0; draw < MAX_DRAWS; draw++) {
            int target = mRandom.nextInt(mInFlight.length);
            double weight = freeWeight(target);
            if (weight >= 1 || weight > 0 && mRandom.nextDouble() < weight) {
                send(target, nowMicros);
                return;
            }
        }
    }

    private double freeWeight(int target) {
        return mInFlight[target] < mPool.slots() ? mPolicy.weight(target) : 0;
    }

    private void probe(long nowMillis) {
        int target = mPolicy.probeDue();
        if (target >= 0 && mInFlight[target] < mPool.slots()) {
            send(target, nowMillis * 1_000);
        }
    }

    private void send(int target, long nowMicros) {
        long sinceMillis = nowMicros / 1_000 - mFaultMillis;
        boolean isSick = mIsSick[target] && sinceMillis >= 0;
        boolean isCut = isSick && mFault.scope() == Fault.Scope.PATH;
        RequestLaw law = isSick && !isCut ? mFault.course().at(sinceMillis) : RequestLaw.HEALTHY;
        ObservedOutcome outcome =
                law.fails(mRandom) ? ObservedOutcome.TARGET_ERROR : ObservedOutcome.SUCCESS;
        if (isSick && mFault.scope() == Fault.Scope.ALL && mRandom.nextDouble() < OVERLOAD_SHED) {
            outcome = ObservedOutcome.SHED;
        }
        long micros = outcome == ObservedOutcome.SUCCESS ? law.micros(mRandom) : ERROR_MICROS;
        mInFlight[target]++;
        long held = isCut ? PATH_FAULT_MICROS : micros;
        mCompletions.add(new Completion(nowMicros + held, target, outcome, micros, isCut));
    }

    private void complete(Completion done) {
        long nowMillis = done.timeMicros() / 1_000;
        mInFlight[done.target()]--;
        boolean isPath = mFault.scope() == Fault.Scope.PATH;
        ObservationPoint end = isPath ? ObservationPoint.ENTRY : ObservationPoint.GUARD;
        ObservedOutcome outcome = done.isCut() ? ObservedOutcome.PATH_FAULT : done.outcome();
        boolean isCause = mPolicy.observe(done.target(), end, outcome, done.micros(), nowMillis);
        if (isPath && mPolicy instanceof DetectorPolicy) {
            isCause |=
                    mPolicy.observe(
                            done.target(),
                            ObservationPoint.GUARD,
                            done.outcome(),
                            done.micros(),
                            nowMillis);
        }
        if (isCause) {
            note(nowMillis);
        }
    }

    /** Notes who has been ejected since the last look. */
    private void note(long nowMillis) {
        for (int i = 0; i < mWasEligible.length; i++) {
            boolean isEligible = mPolicy.isEligible(i);
            if (mWasEligible[i] && !isEligible) {
                noteEjection(i, nowMillis);
            }
            mWasEligible[i] = isEligible;
        }
    }

    private void noteEjection(int target, long nowMillis) {
        boolean isSick = mIsSick[target] && nowMillis >= mFaultMillis;
        if (!isSick || mFault.scope() == Fault.Scope.ALL) {
            mFalseEjections++;
            return;
        }
        if (mDetectedMillis[target] == 0) {
            mDetectedMillis[target] = nowMillis;
            mDetected++;
        }
        if (mDetected == mWanted) {
            mEndMillis = Math.min(mEndMillis, nowMillis + AFTER_DETECTION_MILLIS);
        }
    }

    private EpisodeResult result() {
        List<Long> detection = new ArrayList<>();
        int sick = 0;
        for (int i = 0; i < mIsSick.length; i++) {
            sick += mIsSick[i] && mFault.scope() != Fault.Scope.ALL ? 1 : 0;
            if (mIsSick[i] && mFault.scope() != Fault.Scope.ALL) {
                boolean isDetected = mDetectedMillis[i] > 0;
                detection.add(isDetected ? mDetectedMillis[i] - mFaultMillis : mPool.capMillis());
            }
        }
        double healthyMillis =
                (double) mFaultMillis * mIsSick.length
                        + (double) (mEndMillis - mFaultMillis) * (mIsSick.length - sick);
        return new EpisodeResult(
                detection,
                mWanted - mDetected,
                mFalseEjections + mPolicy.wrongForOthers(),
                healthyMillis / MILLIS_PER_HOUR);
    }
}
