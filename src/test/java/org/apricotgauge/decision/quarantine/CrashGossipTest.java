package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests crash gossip in a simulated fleet with lost messages, restarts and partitions. */
class CrashGossipTest {
    private static final Fingerprint LETHAL = new Fingerprint(1, 0);

    /** Time within which every node must quarantine the request. */
    private static final int PROPAGATION_BOUND_MILLIS = 3_000;

    private static final int SEEDS = 50;

    /** Ten seconds at a third of a node's budget for control traffic, and a burst. */
    private static final int MAX_BYTES = 10 * 8_600 + 32_000;

    private static final int MIN_LINE_BYTES = 38;

    // Guards against a duplicate that runs where the crashes were not observed: three nodes observe
    // one crash each, and some messages are lost.
    @ParameterizedTest
    @CsvSource({"24,0.0", "24,0.1", "24,0.3", "113,0.1", "1000,0.1"})
    void crashesSeenByThreeNodesReachAllInTime(int nodes, double lossProbability) {
        for (int seed = 0; seed < (nodes > 200 ? 3 : SEEDS); seed++) {
            CrashGossipSimulation fleet = new CrashGossipSimulation(nodes, lossProbability, seed);
            fleet.crashAt(LETHAL, 0, 1, 2);
            fleet.run(PROPAGATION_BOUND_MILLIS);
            assertThat(fleet.nodesNotQuarantining(LETHAL)).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a duplicate that runs at a node which had not started when the records were
    // sent.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void aRestartedNodeCatchesUpInTime(double lossProbability) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashGossipSimulation fleet = new CrashGossipSimulation(24, lossProbability, seed);
            fleet.crashAt(LETHAL, 0, 1, 2);
            fleet.run(10_000);
            fleet.restart(7);
            fleet.run(PROPAGATION_BOUND_MILLIS);
            assertThat(fleet.nodesNotQuarantining(LETHAL)).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a duplicate that runs at a node which was partitioned, without detecting it,
    // when the records were sent.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void aNodeCatchesUpInTimeAfterAPartition(double lossProbability) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashGossipSimulation fleet = new CrashGossipSimulation(24, lossProbability, seed);
            fleet.partition(node -> node == 7);
            fleet.crashAt(LETHAL, 0, 1, 2);
            fleet.run(10_000);
            fleet.partition(node -> false);
            fleet.run(PROPAGATION_BOUND_MILLIS);
            assertThat(fleet.nodesNotQuarantining(LETHAL)).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against a request that is not quarantined because each side of a partition observed
    // too few of its crashes.
    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1})
    void bothSidesOfAPartitionMergeTheirCrashesOnceItHeals(double lossProbability) {
        for (int seed = 0; seed < SEEDS; seed++) {
            CrashGossipSimulation fleet = new CrashGossipSimulation(24, lossProbability, seed);
            fleet.partition(node -> node < 12);
            fleet.crashAt(LETHAL, 0, 12, 13);
            fleet.run(10_000);
            fleet.partition(node -> false);
            fleet.run(PROPAGATION_BOUND_MILLIS);
            assertThat(fleet.nodesNotQuarantining(LETHAL)).as("seed %d", seed).isEmpty();
        }
    }

    // Guards against the loss of crashes when a guard crashes with its target before any node
    // requests the guard's records.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void crashesReportedByANodeSurviveItsRestart(long seed) {
        CrashGossipSimulation fleet = new CrashGossipSimulation(24, 0.1, seed);
        fleet.crashAt(LETHAL, 0, 1, 2);
        fleet.restart(0);
        fleet.restart(1);
        fleet.restart(2);
        fleet.run(PROPAGATION_BOUND_MILLIS);

        assertThat(fleet.nodesNotQuarantining(LETHAL)).isEmpty();
    }

    // Guards against refusing a popular request after a wave of crashes: one node saw it succeed.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void oneSuccessfulRunClearsARequestEverywhere(long seed) {
        CrashGossipSimulation fleet = new CrashGossipSimulation(24, 0.1, seed);
        fleet.crashAt(LETHAL, 0, 1, 2, 3);
        fleet.run(500);
        fleet.table(20).recordSuccess(LETHAL);
        fleet.run(PROPAGATION_BOUND_MILLIS);

        assertThat(fleet.nodesNotQuarantining(LETHAL)).hasSize(24);
    }

    // Guards against an attacker whose invented requests cause unbounded gossip.
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theBytesThatANodeSendsAreBounded(long seed) {
        CrashGossipSimulation fleet = new CrashGossipSimulation(24, 0, seed);
        for (int i = 0; i < 2_000; i++) {
            fleet.table(i % 24).recordCrash(List.of(new Fingerprint(i, i)), i);
        }
        fleet.resetLinesSent();
        fleet.run(10_000);

        assertThat(fleet.maxLinesSentByANode()).isLessThan(MAX_BYTES / MIN_LINE_BYTES);
    }

    // Guards against traffic in a fleet where nothing crashes.
    @ParameterizedTest
    @ValueSource(ints = {24})
    void nothingIsSentWithoutCrashes(int nodes) {
        CrashGossipSimulation fleet = new CrashGossipSimulation(nodes, 0, 1);
        fleet.run(60_000);

        assertThat(fleet.messagesSent()).isZero();
    }
}
