package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.apricotgauge.decision.health.HealthGate.TargetRestriction;

/**
 * Simulates requests to a service whose targets degrade by a model unknown to their gates.
 *
 * <p>A non-idempotent request is sent to the most likely healthy of some targets drawn at random,
 * as by an entry that receives health reports; an idempotent request to any of them. If a gate
 * refuses the request, it is sent to the other targets in turn.
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
     * Parameters of the simulated site.
     *
     * @param targets number of targets of the service
     * @param episodeMillis mean length of an episode
     * @param degradedShare share of time in episodes
     * @param degradedFailureRate share of requests that a degraded target fails
     * @param failureMillis time until a failure; answers take 600 ms on average
     * @param perSecond requests per second
     * @param idempotentShare share of requests that are idempotent
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

    EpisodeSimulation(Site site, int candidates, long seed) {
        mSite = site;
        mCandidates = candidates;
        mRandom = new SplittableRandom(seed);
        mDegradedUntilMillis = new double[site.targets()];
        mDegradedFromMillis = new double[site.targets()];
        for (int i = 0; i < site.targets(); i++) {
            mGates.add(new HealthGate());
        }
    }

    /** Makes failed requests end without an answer instead of with an error. */
    EpisodeSimulation withHangs() {
        mHangs = true;
        return this;
    }

    /** Makes the gates learn only from runs that have ended. */
    EpisodeSimulation withoutChecks() {
        mChecksRunning = false;
        return this;
    }

    /** Simulates some seconds; counts only requests that arrive from a given second on. */
    EpisodeSimulation run(long seconds, long fromSecond) {
        double arrivalMillis = 0;
        while (arrivalMillis < seconds * 1_000) {
            arrivalMillis += exponential(1_000 / mSite.perSecond());
            long atMillis = (long) arrivalMillis;
            boolean counts = atMillis >= fromSecond * 1_000;
            mSteps.add(new Step(atMillis, () -> arrived(counts)));
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
        boolean idempotent = mRandom.nextDouble() < mSite.idempotentShare();
        mNonIdempotent += counts && !idempotent ? 1 : 0;
        send(
                idempotent ? TargetRestriction.MAY_TRY : TargetRestriction.STEADY,
                counts,
                idempotent ? 2 : 1);
    }

    private void send(TargetRestriction targetRestriction, boolean counts, int runs) {
        for (int target : order(targetRestriction)) {
            HealthGate gate = mGates.get(target);
            if (gate.mayStart(targetRestriction, mNowMillis)) {
                start(target, gate, targetRestriction, counts, runs);
                return;
            }
        }
        if (targetRestriction == TargetRestriction.STEADY && counts) {
            mRefused++;
            mNonIdempotentFailed += runs == 1 ? 1 : 0;
        }
    }

    private List<Integer> order(TargetRestriction targetRestriction) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < mSite.targets(); i++) {
            all.add(mRandom.nextInt(all.size() + 1), i);
        }
        List<Integer> ordered = new ArrayList<>(all.subList(0, Math.min(mCandidates, all.size())));
        if (targetRestriction == TargetRestriction.STEADY) {
            ordered.sort((a, b) -> Double.compare(probability(a), probability(b)));
        }
        ordered.addAll(all.subList(ordered.size(), all.size()));
        return ordered;
    }

    private double probability(int target) {
        return mGates.get(target).estimate(mNowMillis).probability();
    }

    private void start(
            int target,
            HealthGate gate,
            TargetRestriction targetRestriction,
            boolean counts,
            int runs) {
        boolean fails =
                mRandom.nextDouble() < (isDegraded(target) ? mSite.degradedFailureRate() : 0.012);
        long durationMillis = fails ? mSite.failureMillis() : 300 + mRandom.nextInt(600);
        HealthGate.Run run = gate.started(mNowMillis);
        scheduleChecks(gate, run, mNowMillis, durationMillis);
        schedule(durationMillis, () -> ended(gate, run, fails, targetRestriction, counts, runs));
    }

    private void scheduleChecks(
            HealthGate gate, HealthGate.Run run, long startMillis, long durationMillis) {
        if (mChecksRunning && run.checkMillis() < durationMillis) {
            schedule(
                    startMillis + run.checkMillis() - mNowMillis,
                    () -> {
                        gate.stillRunning(run, mNowMillis);
                        scheduleChecks(gate, run, startMillis, durationMillis);
                    });
        }
    }

    private void ended(
            HealthGate gate,
            HealthGate.Run run,
            boolean fails,
            TargetRestriction targetRestriction,
            boolean counts,
            int runs) {
        if (fails && mHangs) {
            gate.endedWithoutAnswer(run, mNowMillis);
        } else {
            gate.ended(run, fails, mNowMillis);
        }
        if (fails && runs > 1) {
            mRetries++;
            send(TargetRestriction.STEADY, counts, 0);
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
