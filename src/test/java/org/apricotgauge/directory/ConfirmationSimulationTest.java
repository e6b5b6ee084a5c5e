package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * What it costs a fleet to keep every node's view of the site young, and whether it stays so.
 *
 * <p>A model in steps of a millisecond: nodes send each other requests, whose acknowledgements tell
 * how old the view of the node that gives them is, and ask the platform when their own becomes too
 * old. All watches are silent, which is the worst case: nothing but questions confirms anything.
 */
class ConfirmationSimulationTest {
    private static final PlatformTimes TIMES = new PlatformTimes(2_000, 1_500);
    private static final long TICK_MILLIS = 100;
    private static final long PLATFORM_LATENCY_MILLIS = 4;

    private static final long HOP_LATENCY_MILLIS = 4;

    /** A node tells its view's age in one acknowledgement in this time at the most. */
    private static final long REPORT_INTERVAL_MILLIS = 10;

    /** The fleet finds its pace in the first seconds. */
    private static final long WARM_UP_MILLIS = 2_000;

    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * What a model of a fleet showed after it had warmed up.
     *
     * @param callsPerSecond calls of the whole fleet to the platform
     * @param oldestMillis greatest age of any node's view
     */
    private record SimulationResult(double callsPerSecond, long oldestMillis) {}

    private static final class FleetModel {
        private final SplittableRandom mRandom;
        private final int mNodes;
        private final List<ConfirmationTracker> mViews = new ArrayList<>();
        private final long[] mQueryAtAgeMillis;
        private final long[] mAnsweredAtMillis;
        private final long[] mReportedAtMillis;

        FleetModel(int nodes, long seed) {
            mRandom = new SplittableRandom(seed);
            mNodes = nodes;
            mQueryAtAgeMillis = new long[nodes];
            mAnsweredAtMillis = new long[nodes];
            mReportedAtMillis = new long[nodes];
            for (int node = 0; node < nodes; node++) {
                mViews.add(new ConfirmationTracker(TIMES, 0));
                mQueryAtAgeMillis[node] = drawQueryAgeMillis();
                mAnsweredAtMillis[node] = Long.MAX_VALUE;
            }
        }

        private long drawQueryAgeMillis() {
            return mRandom.nextLong(TIMES.maxViewAgeMillis() / 2, TIMES.maxViewAgeMillis() + 1);
        }

        SimulationResult run(double requestsPerNodeAndSecond, long millis) {
            long calls = 0;
            long oldestMillis = 0;
            double owed = 0;
            for (long now = 1; now <= WARM_UP_MILLIS + millis; now++) {
                for (owed += mNodes * requestsPerNodeAndSecond / MILLIS_PER_SECOND;
                        owed >= 1;
                        owed--) {
                    simulateRequest(now);
                }
                long asked = queryPlatform(now);
                if (now > WARM_UP_MILLIS) {
                    calls += asked;
                    oldestMillis = Math.max(oldestMillis, oldestMillis(now));
                }
            }
            return new SimulationResult(calls * (double) MILLIS_PER_SECOND / millis, oldestMillis);
        }

        /** One request between two nodes, with its acknowledgement. */
        private void simulateRequest(long now) {
            int entry = mRandom.nextInt(mNodes);
            int guard = mRandom.nextInt(mNodes);
            reportAge(guard, entry, now);
        }

        private void reportAge(int from, int to, long now) {
            long ageMillis = mViews.get(from).reportedAgeMillis(now);
            boolean isDue = now - mReportedAtMillis[from] >= REPORT_INTERVAL_MILLIS;
            if (isDue && ageMillis < TIMES.maxViewAgeMillis()) {
                mReportedAtMillis[from] = now;
                mViews.get(to).recordPeerConfirmation(now - HOP_LATENCY_MILLIS - ageMillis, now);
            }
        }

        private long queryPlatform(long now) {
            long asked = 0;
            for (int node = 0; node < mNodes; node++) {
                if (mAnsweredAtMillis[node] <= now) {
                    mAnsweredAtMillis[node] = Long.MAX_VALUE;
                    mViews.get(node).recordRead(now, now);
                }
                boolean ticks = (now + node) % TICK_MILLIS == 0;
                boolean waits = mAnsweredAtMillis[node] != Long.MAX_VALUE;
                if (ticks && !waits && mViews.get(node).ageMillis(now) >= mQueryAtAgeMillis[node]) {
                    mQueryAtAgeMillis[node] = drawQueryAgeMillis();
                    mAnsweredAtMillis[node] = now + PLATFORM_LATENCY_MILLIS;
                    asked++;
                }
            }
            return asked;
        }

        private long oldestMillis(long now) {
            return mViews.stream().mapToLong(view -> view.ageMillis(now)).max().orElseThrow();
        }
    }

    @Test
    void sharedAgesReducePlatformCallsOfSmallSite() {
        SimulationResult shared = new FleetModel(24, 1).run(5.6, 60_000);
        SimulationResult alone = new FleetModel(24, 1).run(0, 60_000);

        print("24 nodes", shared);
        print("24 nodes that tell each other nothing", alone);
        assertFresh(shared);
        assertFresh(alone);
        assertThat(shared.callsPerSecond()).isLessThan(alone.callsPerSecond());
    }

    @Test
    void largeFleetStaysWithinPlatformRate() {
        // 7,100 nodes with 239 requests a second each; the platform serves 2,000 calls a second to
        // all of them, of which waiting watches of 10 s take 710.
        SimulationResult shown = new FleetModel(7_100, 2).run(239, 1_500);

        print("7,100 nodes", shown);
        assertFresh(shown);
        assertThat(shown.callsPerSecond()).isLessThan(2_000 - 710);
    }

    private static void assertFresh(SimulationResult shown) {
        assertThat(shown.oldestMillis())
                .isLessThanOrEqualTo(
                        TIMES.maxViewAgeMillis() + TICK_MILLIS + PLATFORM_LATENCY_MILLIS);
    }

    private static void print(String fleet, SimulationResult shown) {
        System.out.printf(
                "%s: %.1f calls a second, oldest view %d ms%n",
                fleet, shown.callsPerSecond(), shown.oldestMillis());
    }
}
