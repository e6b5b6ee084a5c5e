package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.apricotgauge.decision.health.HealthGate.RiskTolerance;

/**
 * Requests at one service whose targets fall sick by a law that nobody told the gates.
 *
 * <p>A request that must not repeat goes to the likeliest healthy of some targets drawn at random,
 * as an entry that hears news does, another to any; where a gate turns it away, it tries the
 * others.
 */
final class EpisodeSimulation {
    private final Site mSite;
    private final int mCandidates;
    private final SplittableRandom mRandom;
    private final List<HealthGate> mGates = new ArrayList<>();
    private final double[] mDegradedUntilMillis;
    private final double[] mDegradedFromMillis;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private long mNowMillis;
    private boolean mChecksRunning = true;
    private boolean mHangs;
    int mNonIdempotent;
    int mNonIdempotentFailed;
    int mRefused;
    int mRetries;

    /**
     * What holds on the site.
     *
     * @param targets targets of the service
     * @param episodeMillis mean length of a spell
     * @param degradedShare share of time in spells
     * @param degradedFailureRate share that a sick target fails
     * @param failureMillis time after which a failure comes; answers take 600 ms
     * @param perSecond requests a second
     * @param idempotentShare share of them that may repeat
     */
    record Site(
            int targets,
            double episodeMillis,
            double degradedShare,
            double degradedFailureRate,
            long failureMillis,
            double perSecond,
            double idempotentShare) {}

    private record Step(long atMillis, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    EpisodeSimulation(Site law, int drawn, long seed) {
        mSite = law;
        mCandidates = drawn;
        mRandom = new SplittableRandom(seed);
        mDegradedUntilMillis = new double[law.targets()];
        mDegradedFromMillis = new double[law.targets()];
        for (int i = 0; i < law.targets(); i++) {
            mGates.add(new HealthGate());
        }
    }

    /** Lets failures be requests to which nothing comes until nobody waits any more. */
    EpisodeSimulation withHangs() {
        mHangs = true;
        return this;
    }

    /** Lets the gates learn from runs that have ended alone. */
    EpisodeSimulation withoutChecks() {
        mChecksRunning = false;
        return this;
    }

    /** Plays some seconds; counts only what comes after the first ones. */
    EpisodeSimulation run(long seconds, long fromSecond) {
        double arriveMillis = 0;
        while (arriveMillis < seconds * 1_000) {
            arriveMillis += exponential(1_000 / mSite.perSecond());
            long at = (long) arriveMillis;
            boolean counts = at >= fromSecond * 1_000;
            mSteps.add(new Step(at, () -> arrived(counts)));
        }
        while (!mSteps.isEmpty()) {
            Step step = mSteps.poll();
            mNowMillis = step.atMillis();
            step.action().run();
        }
        return this;
    }

    double nonIdempotentFailedShare() {
        return (double) mNonIdempotentFailed / mNonIdempotent;
    }

    private void arrived(boolean counts) {
        boolean repeatable = mRandom.nextDouble() < mSite.idempotentShare();
        mNonIdempotent += counts && !repeatable ? 1 : 0;
        send(repeatable ? RiskTolerance.MAY_TRY : RiskTolerance.STEADY, counts, repeatable ? 2 : 1);
    }

    private void send(RiskTolerance caution, boolean counts, int runs) {
        for (int target : order(caution)) {
            HealthGate gate = mGates.get(target);
            if (gate.mayStart(caution, mNowMillis)) {
                start(target, gate, caution, counts, runs);
                return;
            }
        }
        if (caution == RiskTolerance.STEADY && counts) {
            mRefused++;
            mNonIdempotentFailed += runs == 1 ? 1 : 0;
        }
    }

    private List<Integer> order(RiskTolerance caution) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < mSite.targets(); i++) {
            all.add(mRandom.nextInt(all.size() + 1), i);
        }
        List<Integer> drawn = new ArrayList<>(all.subList(0, Math.min(mCandidates, all.size())));
        if (caution == RiskTolerance.STEADY) {
            drawn.sort((a, b) -> Double.compare(probability(a), probability(b)));
        }
        drawn.addAll(all.subList(drawn.size(), all.size()));
        return drawn;
    }

    private double probability(int target) {
        return mGates.get(target).estimate(mNowMillis).probability();
    }

    private void start(
            int target, HealthGate gate, RiskTolerance caution, boolean counts, int runs) {
        boolean fails =
                mRandom.nextDouble() < (isDegraded(target) ? mSite.degradedFailureRate() : 0.012);
        long tookMillis = fails ? mSite.failureMillis() : 300 + mRandom.nextInt(600);
        HealthGate.Run run = gate.started(mNowMillis);
        scheduleChecks(gate, run, mNowMillis, tookMillis);
        schedule(tookMillis, () -> ended(gate, run, fails, caution, counts, runs));
    }

    private void scheduleChecks(
            HealthGate gate, HealthGate.Run run, long startMillis, long tookMillis) {
        if (mChecksRunning && run.checkMillis() < tookMillis) {
            schedule(
                    startMillis + run.checkMillis() - mNowMillis,
                    () -> {
                        gate.stillRunning(run, mNowMillis);
                        scheduleChecks(gate, run, startMillis, tookMillis);
                    });
        }
    }

    private void ended(
            HealthGate gate,
            HealthGate.Run run,
            boolean fails,
            RiskTolerance caution,
            boolean counts,
            int runs) {
        if (fails && mHangs) {
            gate.endedWithoutAnswer(run, mNowMillis);
        } else {
            gate.ended(run, fails, mNowMillis);
        }
        if (fails && runs > 1) {
            mRetries++;
            send(RiskTolerance.STEADY, counts, 0);
        } else if (fails && runs == 1 && counts) {
            mNonIdempotentFailed++;
        }
    }

    private void schedule(long afterMillis, Runnable action) {
        mSteps.add(new Step(mNowMillis + afterMillis, action));
    }

    private boolean isDegraded(int target) {
        while (mNowMillis >= mDegradedUntilMillis[target]) {
            mDegradedFromMillis[target] =
                    mDegradedUntilMillis[target] + exponential(healthyMillis());
            mDegradedUntilMillis[target] =
                    mDegradedFromMillis[target] + exponential(mSite.episodeMillis());
        }
        return mNowMillis >= mDegradedFromMillis[target];
    }

    private double healthyMillis() {
        return mSite.episodeMillis() * (1 - mSite.degradedShare()) / mSite.degradedShare();
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - mRandom.nextDouble());
    }
}
