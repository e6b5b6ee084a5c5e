package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random scenarios drawn from a seed: duplicates of a lethal request, popular requests, random
 * crashes of targets, node restarts, partitions and lost messages; checks which requests ran.
 */
class QuarantineSimulationTest {
    private static final int SCENARIOS = 15;
    private static final int TICKS = 600;

    // Guards against both errors at once: a lethal request that keeps running, and innocent
    // requests that are refused because they ran beside it.
    @ParameterizedTest
    @ValueSource(longs = {29, 30, 31, 32})
    void lethalRequestsStopRunningAndPopularOnesContinue(long seed) {
        for (int number = 0; number < SCENARIOS; number++) {
            Scenario scenario = new Scenario(seed * SCENARIOS + number);
            for (int tick = 0; tick < TICKS; tick++) {
                scenario.tick();
            }
            assertThat(scenario.mLethalRuns).as("scenario %d", number).isGreaterThanOrEqualTo(3);
            assertThat(scenario.mLateRuns)
                    .as("late runs, scenario %d", number)
                    .isLessThanOrEqualTo(3);
            assertThat(scenario.mLateRefusals).as("refusals, scenario %d", number).isZero();
        }
    }

    /** One scenario; each node is an entry and the guard of one target. */
    private static final class Scenario {
        private static final int NODES = 24;
        private static final int POPULAR = 5;
        private static final int SLOTS = 3;
        private static final int DOWN_TICKS = 15;
        private static final int MAX_PARTITION_TICKS = 50;
        private static final double LOSS_PROBABILITY = 0.05;

        /** Time to reach all nodes; those restarted or partitioned within it are not checked. */
        private static final long PROPAGATION_BOUND_MILLIS = 3_000;

        private static final Fingerprint LETHAL = new Fingerprint(1_000, 0);

        private final SplittableRandom mRandom;
        private final CrashGossipSimulation mFleet;
        private final long[] mDownUntilMillis = new long[NODES];
        private final long[] mLastDisturbanceMillis = new long[NODES];
        private final List<Fingerprint> mPopular = new ArrayList<>();
        private long mPartitionEndMillis = Long.MAX_VALUE;
        private int mPartitionedNode = -1;
        private long mCrashId = 1;
        private long mLastCrashMillis = -PROPAGATION_BOUND_MILLIS;
        private long mThirdCrashMillis = Long.MAX_VALUE;
        private int mLethalRuns;
        private int mLateRuns;
        private int mLateRefusals;

        private Scenario(long seed) {
            mRandom = new SplittableRandom(seed);
            mFleet = new CrashGossipSimulation(NODES, LOSS_PROBABILITY, mRandom.nextLong());
            Arrays.fill(mLastDisturbanceMillis, -PROPAGATION_BOUND_MILLIS);
            for (int i = 0; i < POPULAR; i++) {
                mPopular.add(new Fingerprint(i, i));
            }
        }

        private void tick() {
            sendPopular();
            if (happensWith(0.15)) {
                sendLethal();
            }
            if (happensWith(0.01)) {
                crashRandomTargets();
            }
            if (happensWith(0.01)) {
                restart(mRandom.nextInt(NODES));
            }
            partitionOrHeal();
            mFleet.run(CrashGossipSimulation.TICK_MILLIS);
        }

        private boolean happensWith(double probability) {
            return mRandom.nextDouble() < probability;
        }

        private void sendPopular() {
            for (Fingerprint popular : mPopular) {
                int entry = mRandom.nextInt(NODES);
                int guard = mRandom.nextInt(NODES);
                boolean quarantined =
                        isQuarantined(entry, popular) || isQuarantined(guard, popular);
                boolean crashedRecently =
                        mFleet.nowMillis() - mLastCrashMillis < PROPAGATION_BOUND_MILLIS;
                if (quarantined && !crashedRecently && isSettled(entry) && isSettled(guard)) {
                    mLateRefusals++;
                }
                if (!quarantined && isUp(guard)) {
                    mFleet.table(guard).recordSuccess(popular);
                }
            }
        }

        private void sendLethal() {
            int entry = mRandom.nextInt(NODES);
            int guard = mRandom.nextInt(NODES);
            if (!isUp(guard) || isQuarantined(entry, LETHAL) || isQuarantined(guard, LETHAL)) {
                return;
            }
            mLethalRuns++;
            long nowMillis = mFleet.nowMillis();
            boolean isLate = nowMillis - PROPAGATION_BOUND_MILLIS > mThirdCrashMillis;
            if (isLate && isSettled(entry) && isSettled(guard)) {
                mLateRuns++;
            }
            if (mLethalRuns == 3) {
                mThirdCrashMillis = nowMillis;
            }
            crash(guard, LETHAL);
        }

        /** Crashes a third of all targets while they run popular and other requests. */
        private void crashRandomTargets() {
            for (int guard = 0; guard < NODES; guard++) {
                if (isUp(guard) && happensWith(0.33)) {
                    crash(guard, new Fingerprint(mRandom.nextLong(), 0));
                }
            }
        }

        private void crash(int guard, Fingerprint first) {
            List<Fingerprint> running = new ArrayList<>(List.of(first));
            while (running.size() < SLOTS) {
                running.add(mPopular.get(mRandom.nextInt(POPULAR)));
            }
            mLastCrashMillis = mFleet.nowMillis();
            mDownUntilMillis[guard] =
                    mLastCrashMillis + DOWN_TICKS * CrashGossipSimulation.TICK_MILLIS;
            mFleet.table(guard).recordCrash(running, mCrashId++);
            mFleet.gossip(guard).tick();
        }

        private void restart(int node) {
            mFleet.restart(node);
            mLastDisturbanceMillis[node] = mFleet.nowMillis();
        }

        private void partitionOrHeal() {
            long nowMillis = mFleet.nowMillis();
            if (mPartitionedNode >= 0) {
                mLastDisturbanceMillis[mPartitionedNode] = nowMillis;
            }
            if (nowMillis >= mPartitionEndMillis) {
                mPartitionedNode = -1;
                mPartitionEndMillis = Long.MAX_VALUE;
            } else if (mPartitionedNode < 0 && happensWith(0.01)) {
                mPartitionedNode = mRandom.nextInt(NODES);
                mPartitionEndMillis =
                        nowMillis
                                + (long) mRandom.nextInt(MAX_PARTITION_TICKS)
                                        * CrashGossipSimulation.TICK_MILLIS;
            }
            mFleet.partition(node -> node == mPartitionedNode);
        }

        private boolean isQuarantined(int node, Fingerprint fingerprint) {
            return mFleet.table(node).remainingQuarantineMillis(fingerprint) > 0;
        }

        private boolean isUp(int node) {
            return mFleet.nowMillis() >= mDownUntilMillis[node];
        }

        private boolean isSettled(int node) {
            return mFleet.nowMillis() - mLastDisturbanceMillis[node] >= PROPAGATION_BOUND_MILLIS;
        }
    }
}
