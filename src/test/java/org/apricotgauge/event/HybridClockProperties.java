package org.apricotgauge.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Order of events over nodes whose wall clocks are skewed and jump, also backwards.
 *
 * <p>An operator reads that a target was ejected before it failed, when a guard's clock is ahead of
 * its neighbour's: the effect, on the slow clock, sorts before its cause. The hybrid logical clock
 * travels in every message, so a receiver's next reading is above the sender's.
 */
class HybridClockProperties {
    private static final int NODES = 4;
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final int MAX_JUMP_MILLIS = 60_000;

    /** One step: an event at a node that may have heard from another, after its clock jumped. */
    private record Step(int node, int heardFrom, int jumpMillis) {}

    private record Stamped(HlcTimestamp hlc, long[] vector, int node, long greatestWallMillis) {
        boolean happenedBefore(Stamped other) {
            return this != other && vector[node] <= other.vector[node];
        }
    }

    @Property(seed = "1701", tries = 300)
    void causeHasTheSmallerTimestamp(@ForAll("steps") List<Step> steps) {
        List<Stamped> events = run(steps);

        for (Stamped cause : events) {
            for (Stamped effect : events) {
                if (cause.happenedBefore(effect)) {
                    assertThat(cause.hlc()).isLessThan(effect.hlc());
                }
            }
        }
    }

    @Property(seed = "1702", tries = 100)
    void timestampIsNeverAheadOfEveryWallClock(@ForAll("steps") List<Step> steps) {
        for (Stamped event : run(steps)) {
            assertThat(event.hlc().millis()).isLessThanOrEqualTo(event.greatestWallMillis());
        }
    }

    @Test
    void readingBeyondTheBoundOnDriftIsLeftOut() {
        HybridClock clock = new HybridClock(() -> Instant.ofEpochMilli(1_000), 500);

        assertThat(clock.observe(new HlcTimestamp(1_501, 0)).millis()).isEqualTo(1_000);
        assertThat(clock.refusedCount()).isEqualTo(1);
        assertThat(clock.observe(new HlcTimestamp(1_500, 7))).isEqualTo(new HlcTimestamp(1_500, 8));
        assertThat(clock.now()).isEqualTo(new HlcTimestamp(1_500, 9));
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> node = Arbitraries.integers().between(0, NODES - 1);
        Arbitrary<Integer> jump = Arbitraries.integers().between(-MAX_JUMP_MILLIS, MAX_JUMP_MILLIS);
        return node.flatMap(
                        at -> node.flatMap(from -> jump.map(millis -> new Step(at, from, millis))))
                .list()
                .ofMaxSize(40);
    }

    private static List<Stamped> run(List<Step> steps) {
        long[] wallMillis = new long[NODES];
        HybridClock[] clocks = new HybridClock[NODES];
        Stamped[] latest = new Stamped[NODES];
        for (int i = 0; i < NODES; i++) {
            int node = i;
            wallMillis[i] = START_MILLIS + i * 10_000L;
            clocks[i] = new HybridClock(() -> Instant.ofEpochMilli(wallMillis[node]));
        }
        List<Stamped> events = new ArrayList<>();
        long greatestWallMillis = 0;
        for (Step step : steps) {
            wallMillis[step.node()] += step.jumpMillis();
            greatestWallMillis = Math.max(greatestWallMillis, wallMillis[step.node()]);
            long[] vector = new long[NODES];
            merge(vector, latest[step.node()]);
            merge(vector, latest[step.heardFrom()]);
            vector[step.node()]++;
            if (latest[step.heardFrom()] != null) {
                clocks[step.node()].observe(latest[step.heardFrom()].hlc());
            }
            HlcTimestamp hlc = clocks[step.node()].now();
            latest[step.node()] = new Stamped(hlc, vector, step.node(), greatestWallMillis);
            events.add(latest[step.node()]);
        }
        return events;
    }

    private static void merge(long[] vector, Stamped heard) {
        for (int i = 0; heard != null && i < NODES; i++) {
            vector[i] = Math.max(vector[i], heard.vector()[i]);
        }
    }
}
