package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.apricotgauge.decision.health.HealthGate.Caution;

/**
 * Requests at one service whose targets fall sick by a law that nobody told the gates.
 *
 * <p>A request that must not repeat goes to the likeliest healthy of some targets drawn at random,
 * as an entry that hears news does, another to any; where a gate turns it away, it tries the
 * others.
 */
final class SpellLoad {
    private final Law mLaw;
    private final int mDrawn;
    private final SplittableRandom mRandom;
    private final List<HealthGate> mGates = new ArrayList<>();
    private final double[] mSickUntilMillis;
    private final double[] mSickFromMillis;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private long mNowMillis;
    private boolean mLooks = true;
    private boolean mHangs;
    int mSteady;
    int mSteadyFailed;
    int mTurnedAway;
    int mRepeats;

    /**
     * What holds on the site.
     *
     * @param targets targets of the service
     * @param spellMillis mean length of a spell
     * @param sickShare share of time in spells
     * @param failsSick share that a sick target fails
     * @param failMillis time after which a failure comes; answers take 600 ms
     * @param perSecond requests a second
     * @param repeatable share of them that may repeat
     */
    record Law(
            int targets,
            double spellMillis,
            double sickShare,
            double failsSick,
            long failMillis,
            double perSecond,
            double repeatable) {}

    private record Step(long atMillis, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }

    SpellLoad(Law law, int drawn, long seed) {
        mLaw = law;
        mDrawn = drawn;
        mRandom = new SplittableRandom(seed);
        mSickUntilMillis = new double[law.targets()];
        mSickFromMillis = new double[law.targets()];
        for (int i = 0; i < law.targets(); i++) {
            mGates.add(new HealthGate());
        }
    }

    /** Lets failures be requests to which nothing comes until nobody waits any more. */
    SpellLoad withHangs() {
        mHangs = true;
        return this;
    }

    /** Lets the gates learn from runs that have ended alone. */
    SpellLoad withoutLooks() {
        mLooks = false;
        return this;
    }

    /** Plays some seconds; counts only what comes after the first ones. */
    SpellLoad run(long seconds, long fromSecond) {
        double arriveMillis = 0;
        while (arriveMillis < seconds * 1_000) {
            arriveMillis += exponential(1_000 / mLaw.perSecond());
            long at = (long) arriveMillis;
            boolean counts = at >= fromSecond * 1_000;
            mSteps.add(new Step(at, () -> arrive(counts)));
        }
        while (!mSteps.isEmpty()) {
            Step step = mSteps.poll();
            mNowMillis = step.atMillis();
            step.action().run();
        }
        return this;
    }

    double steadyFailedShare() {
        return (double) mSteadyFailed / mSteady;
    }

    private void arrive(boolean counts) {
        boolean repeatable = mRandom.nextDouble() < mLaw.repeatable();
        mSteady += counts && !repeatable ? 1 : 0;
        send(repeatable ? Caution.MAY_TRY : Caution.STEADY, counts, repeatable ? 2 : 1);
    }

    private void send(Caution caution, boolean counts, int runs) {
        for (int target : order(caution)) {
            HealthGate gate = mGates.get(target);
            if (gate.mayPass(caution, mNowMillis)) {
                start(target, gate, caution, counts, runs);
                return;
            }
        }
        if (caution == Caution.STEADY && counts) {
            mTurnedAway++;
            mSteadyFailed += runs == 1 ? 1 : 0;
        }
    }

    private List<Integer> order(Caution caution) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < mLaw.targets(); i++) {
            all.add(mRandom.nextInt(all.size() + 1), i);
        }
        List<Integer> drawn = new ArrayList<>(all.subList(0, Math.min(mDrawn, all.size())));
        if (caution == Caution.STEADY) {
            drawn.sort((a, b) -> Double.compare(sick(a), sick(b)));
        }
        drawn.addAll(all.subList(drawn.size(), all.size()));
        return drawn;
    }

    private double sick(int target) {
        return mGates.get(target).outlook(mNowMillis).sick();
    }

    private void start(int target, HealthGate gate, Caution caution, boolean counts, int runs) {
        boolean fails = mRandom.nextDouble() < (isSick(target) ? mLaw.failsSick() : 0.012);
        long tookMillis = fails ? mLaw.failMillis() : 300 + mRandom.nextInt(600);
        HealthGate.Run run = gate.started(mNowMillis);
        check(gate, run, mNowMillis, tookMillis);
        at(tookMillis, () -> ended(gate, run, fails, caution, counts, runs));
    }

    private void check(HealthGate gate, HealthGate.Run run, long startMillis, long tookMillis) {
        if (mLooks && run.checkMillis() < tookMillis) {
            at(
                    startMillis + run.checkMillis() - mNowMillis,
                    () -> {
                        gate.stillRuns(run, mNowMillis);
                        check(gate, run, startMillis, tookMillis);
                    });
        }
    }

    private void ended(
            HealthGate gate,
            HealthGate.Run run,
            boolean fails,
            Caution caution,
            boolean counts,
            int runs) {
        if (fails && mHangs) {
            gate.endedSilent(run, mNowMillis);
        } else {
            gate.ended(run, fails, mNowMillis);
        }
        if (fails && runs > 1) {
            mRepeats++;
            send(Caution.STEADY, counts, 0);
        } else if (fails && runs == 1 && counts) {
            mSteadyFailed++;
        }
    }

    private void at(long afterMillis, Runnable action) {
        mSteps.add(new Step(mNowMillis + afterMillis, action));
    }

    private boolean isSick(int target) {
        while (mNowMillis >= mSickUntilMillis[target]) {
            mSickFromMillis[target] = mSickUntilMillis[target] + exponential(healthyMillis());
            mSickUntilMillis[target] = mSickFromMillis[target] + exponential(mLaw.spellMillis());
        }
        return mNowMillis >= mSickFromMillis[target];
    }

    private double healthyMillis() {
        return mLaw.spellMillis() * (1 - mLaw.sickShare()) / mLaw.sickShare();
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - mRandom.nextDouble());
    }
}
