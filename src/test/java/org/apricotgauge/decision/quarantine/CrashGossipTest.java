package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** News of crashes in a simulated fleet whose messages are lost, and whose nodes come and go. */
class CrashGossipTest {
    private static final Fingerprint LETHAL = new Fingerprint(1, 0);
    private static final int TICK_MILLIS = 100;

    /** Within so much, every node shall know of a request that is held. */
    private static final int BOUND_MILLIS = 3_000;

    private static final int DOMAINS = 3;
    private static final int SEEDS = 50;

    /** Ten seconds of a third of what control may cost a node, and a burst. */
    private static final int MOST_BYTES = 10 * 8_600 + 32_000;

    private static final int LEAST_LINE_BYTES = 38;

    // Guards against a copy that is let through where the crashes were not seen: three nodes see
    // one crash each, and a part of all messages is lost.
    @ParameterizedTest
    @CsvSource({"24,0.0", "24,0.1", "24,0.3", "113,0.1", "1000,0.1"})
    void crashesSeenByThreeNodesAreKnownToAllInTime(int nodes, double lost) {
        for (int seed = 0; seed < (nodes > 200 ? 3 : SEEDS); seed++) {
            Fleet fleet = new Fleet(nodes, lost, seed);
            fleet.crashAt(0, 1, 2);
            fleet.run(BOUND_MILLIS);
            assertThat(fleet.ignorant()).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a node that was not there when the news went round.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void aNodeThatStartsLaterLearnsInTime(double lost) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(24, lost, seed);
            fleet.crashAt(0, 1, 2);
            fleet.run(10_000);
            fleet.restart(7);
            fleet.run(BOUND_MILLIS);
            assertThat(fleet.ignorant()).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a node that was cut off when the news went round, and does not know it.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void aNodeBackFromACutLearnsInTime(double lost) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(24, lost, seed);
            fleet.cut(node -> node == 7);
            fleet.crashAt(0, 1, 2);
            fleet.run(10_000);
            fleet.cut(node -> false);
            fleet.run(BOUND_MILLIS);
            assertThat(fleet.ignorant()).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against half a proof on each side of a cut.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void bothSidesOfACutAddUpWhatTheySawOnceItHeals(double lost) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(24, lost, seed);
            fleet.cut(node -> node < 12);
            fleet.crashAt(0, 12, 13);
            fleet.run(10_000);
            fleet.cut(node -> false);
            fleet.run(BOUND_MILLIS);
            assertThat(fleet.ignorant()).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a guard that dies with its target before anybody asks it.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatANodeSawOutlivesIt(long seed) {
        Fleet fleet = new Fleet(24, 0.1, seed);
        fleet.crashAt(0, 1, 2);
        fleet.restart(0);
        fleet.restart(1);
        fleet.restart(2);
        fleet.run(BOUND_MILLIS);

        assertThat(fleet.ignorant()).isEmpty();
    }

    // Guards against refusing a popular request after a wave of crashes: one node saw it end well.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void oneGoodRunClearsARequestEverywhere(long seed) {
        Fleet fleet = new Fleet(24, 0.1, seed);
        fleet.crashAt(0, 1, 2, 3);
        fleet.run(500);
        fleet.mTables.get(20).endedWell(LETHAL);
        fleet.run(BOUND_MILLIS);

        assertThat(fleet.ignorant()).hasSize(24);
    }

    // Guards against an attacker whose invented requests make nodes talk without bound.
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void whatANodeSendsIsBounded(long seed) {
        Fleet fleet = new Fleet(24, 0, seed);
        for (int i = 0; i < 2_000; i++) {
            fleet.mTables.get(i % 24).crashed(List.of(new Fingerprint(i, i)), i);
        }
        fleet.mLines.clear();
        fleet.run(10_000);

        int mostLines = fleet.mLines.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(mostLines).isLessThan(MOST_BYTES / LEAST_LINE_BYTES);
    }

    // Guards against traffic on a site where nothing crashes.
    @ParameterizedTest
    @ValueSource(ints = {24})
    void nothingIsSentWhileNothingIsKnown(int nodes) {
        Fleet fleet = new Fleet(nodes, 0, 1);
        fleet.run(60_000);

        assertThat(fleet.mSent).isZero();
    }

    /** Nodes whose messages take a tick, or are lost. */
    private static final class Fleet {
        private final ManualTicker mTicker = new ManualTicker();
        private final SplittableRandom mRandom;
        private final double mLost;
        private final List<QuarantineTable> mTables = new ArrayList<>();
        private final List<CrashGossip> mGossips = new ArrayList<>();
        private final Map<Integer, Integer> mLines = new HashMap<>();
        private IntPredicate mIsCut = node -> false;
        private List<Runnable> mOnTheWay = new ArrayList<>();
        private long mCrashId = 1;
        private int mSent;

        private Fleet(int nodes, double lost, long seed) {
            mRandom = new SplittableRandom(seed);
            mLost = lost;
            for (int i = 0; i < nodes; i++) {
                mTables.add(null);
                mGossips.add(null);
            }
            for (int i = 0; i < nodes; i++) {
                restart(i);
            }
        }

        private void restart(int node) {
            QuarantineTable table = new QuarantineTable(mTicker, new PassOn(node));
            mTables.set(node, table);
            mGossips.set(
                    node,
                    new CrashGossip(
                            table,
                            () -> peersOf(node),
                            (to, message) -> send(node, to, message),
                            new SplittableRandom(mRandom.nextLong()),
                            mTicker));
        }

        private CrashGossip.Peers peersOf(int node) {
            List<Address> near = new ArrayList<>();
            List<Address> after = new ArrayList<>();
            for (int i = 1; i < mTables.size(); i++) {
                int peer = (node + i) % mTables.size();
                after.add(address(peer));
                if (peer % DOMAINS == node % DOMAINS) {
                    near.add(address(peer));
                }
            }
            return new CrashGossip.Peers(near, after);
        }

        private static Address address(int node) {
            return new Address("10.0.0.1", node + 1);
        }

        private void send(int from, Address to, CrashMessage message) {
            mSent++;
            mLines.merge(from, message.lines().size(), Integer::sum);
            int node = to.port() - 1;
            boolean arrives =
                    mIsCut.test(from) == mIsCut.test(node) && mRandom.nextDouble() >= mLost;
            if (arrives) {
                mOnTheWay.add(() -> mGossips.get(node).received(address(from), message));
            }
        }

        /** Nodes for which this holds are cut off from the others. */
        private void cut(IntPredicate isCut) {
            mIsCut = isCut;
        }

        private void crashAt(int... nodes) {
            for (int node : nodes) {
                mTables.get(node).crashed(List.of(LETHAL), mCrashId++);
                mGossips.get(node).tick();
            }
        }

        private void run(int millis) {
            for (int passed = 0; passed < millis; passed += TICK_MILLIS) {
                List<Runnable> arriving = mOnTheWay;
                mOnTheWay = new ArrayList<>();
                arriving.forEach(Runnable::run);
                mTicker.advanceMillis(TICK_MILLIS);
                mGossips.forEach(CrashGossip::tick);
            }
        }

        private Set<Integer> ignorant() {
            Set<Integer> ignorant = new HashSet<>();
            for (int i = 0; i < mTables.size(); i++) {
                if (mTables.get(i).heldMillis(LETHAL) == 0) {
                    ignorant.add(i);
                }
            }
            return ignorant;
        }

        /** Lets a node pass on what it learns. */
        private final class PassOn implements QuarantineListener {
            private final int mNode;

            private PassOn(int node) {
                mNode = node;
            }

            @Override
            public void held(Fingerprint fingerprint, int crashes, long heldMillis) {}

            @Override
            public void released(Fingerprint fingerprint) {}

            @Override
            public void changed(Fingerprint fingerprint, boolean isUrgent) {
                if (isUrgent) {
                    mGossips.get(mNode).changed(fingerprint);
                }
            }

            @Override
            public void full() {}
        }
    }
}
