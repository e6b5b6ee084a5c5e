package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Courses drawn from a seed: copies of a lethal request, popular requests, targets that end by
 * chance, nodes that restart or are cut off, lost messages; judged by what reached targets.
 */
class QuarantineCoursesTest {
    private static final int COURSES = 15;
    private static final int TICKS = 600;

    // Guards against both errors at once: a lethal request that goes on, and innocent ones that are
    // refused for the company they were in.
    @ParameterizedTest
    @ValueSource(longs = {29, 30, 31, 32})
    void aLethalRequestEndsAndPopularOnesGoOn(long seed) {
        for (int number = 0; number < COURSES; number++) {
            Course course = new Course(seed * COURSES + number);
            for (int tick = 0; tick < TICKS; tick++) {
                course.tick();
            }
            assertThat(course.mLethalRuns).as("course %d", number).isGreaterThanOrEqualTo(3);
            assertThat(course.mLateRuns).as("late runs, course %d", number).isLessThanOrEqualTo(3);
            assertThat(course.mLateRefusals).as("refusals, course %d", number).isZero();
        }
    }

    /** One course; each node is an entry, and the guard of one target. */
    private static final class Course {
        private static final int NODES = 24;
        private static final int POPULAR = 5;
        private static final int SLOTS = 3;
        private static final int DOWN_TICKS = 15;
        private static final int MOST_CUT_TICKS = 50;
        private static final double LOST = 0.05;

        /** Nodes have so long to learn; one that was disturbed within it is excused. */
        private static final long BOUND_MILLIS = 3_000;

        private static final Fingerprint LETHAL = new Fingerprint(1_000, 0);

        private final SplittableRandom mRandom;
        private final SimulatedFleet mFleet;
        private final long[] mDownUntilMillis = new long[NODES];
        private final long[] mDisturbedMillis = new long[NODES];
        private final List<Fingerprint> mPopular = new ArrayList<>();
        private long mCutUntilMillis = Long.MAX_VALUE;
        private int mCut = -1;
        private long mCrashId = 1;
        private long mWaveMillis = -BOUND_MILLIS;
        private long mThirdCrashMillis = Long.MAX_VALUE;
        private int mLethalRuns;
        private int mLateRuns;
        private int mLateRefusals;

        private Course(long seed) {
            mRandom = new SplittableRandom(seed);
            mFleet = new SimulatedFleet(NODES, LOST, mRandom.nextLong());
            Arrays.fill(mDisturbedMillis, -BOUND_MILLIS);
            for (int i = 0; i < POPULAR; i++) {
                mPopular.add(new Fingerprint(i, i));
            }
        }

        private void tick() {
            askPopular();
            if (isDue(0.15)) {
                askLethal();
            }
            if (isDue(0.01)) {
                crashByChance();
            }
            if (isDue(0.01)) {
                restart(mRandom.nextInt(NODES));
            }
            cutOrHeal();
            mFleet.run(SimulatedFleet.TICK_MILLIS);
        }

        private boolean isDue(double probability) {
            return mRandom.nextDouble() < probability;
        }

        private void askPopular() {
            for (Fingerprint popular : mPopular) {
                int entry = mRandom.nextInt(NODES);
                int guard = mRandom.nextInt(NODES);
                boolean held = isHeld(entry, popular) || isHeld(guard, popular);
                boolean excused = mFleet.nowMillis() - mWaveMillis < BOUND_MILLIS;
                if (held && !excused && isInTouch(entry) && isInTouch(guard)) {
                    mLateRefusals++;
                }
                if (!held && isUp(guard)) {
                    mFleet.table(guard).endedWell(popular);
                }
            }
        }

        private void askLethal() {
            int entry = mRandom.nextInt(NODES);
            int guard = mRandom.nextInt(NODES);
            if (!isUp(guard) || isHeld(entry, LETHAL) || isHeld(guard, LETHAL)) {
                return;
            }
            mLethalRuns++;
            long nowMillis = mFleet.nowMillis();
            boolean isLate = nowMillis - BOUND_MILLIS > mThirdCrashMillis;
            if (isLate && isInTouch(entry) && isInTouch(guard)) {
                mLateRuns++;
            }
            if (mLethalRuns == 3) {
                mThirdCrashMillis = nowMillis;
            }
            crash(guard, LETHAL);
        }

        /** Ends a third of all targets, with popular requests and others at work. */
        private void crashByChance() {
            for (int guard = 0; guard < NODES; guard++) {
                if (isUp(guard) && isDue(0.33)) {
                    crash(guard, new Fingerprint(mRandom.nextLong(), 0));
                }
            }
        }

        private void crash(int guard, Fingerprint first) {
            List<Fingerprint> atWork = new ArrayList<>(List.of(first));
            while (atWork.size() < SLOTS) {
                atWork.add(mPopular.get(mRandom.nextInt(POPULAR)));
            }
            mWaveMillis = mFleet.nowMillis();
            mDownUntilMillis[guard] = mWaveMillis + DOWN_TICKS * SimulatedFleet.TICK_MILLIS;
            mFleet.table(guard).crashed(atWork, mCrashId++);
            mFleet.gossip(guard).tick();
        }

        private void restart(int node) {
            mFleet.restart(node);
            mDisturbedMillis[node] = mFleet.nowMillis();
        }

        private void cutOrHeal() {
            long nowMillis = mFleet.nowMillis();
            if (mCut >= 0) {
                mDisturbedMillis[mCut] = nowMillis;
            }
            if (nowMillis >= mCutUntilMillis) {
                mCut = -1;
                mCutUntilMillis = Long.MAX_VALUE;
            } else if (mCut < 0 && isDue(0.01)) {
                mCut = mRandom.nextInt(NODES);
                mCutUntilMillis =
                        nowMillis
                                + (long) mRandom.nextInt(MOST_CUT_TICKS)
                                        * SimulatedFleet.TICK_MILLIS;
            }
            mFleet.cut(node -> node == mCut);
        }

        private boolean isHeld(int node, Fingerprint fingerprint) {
            return mFleet.table(node).heldMillis(fingerprint) > 0;
        }

        private boolean isUp(int node) {
            return mFleet.nowMillis() >= mDownUntilMillis[node];
        }

        private boolean isInTouch(int node) {
            return mFleet.nowMillis() - mDisturbedMillis[node] >= BOUND_MILLIS;
        }
    }
}
