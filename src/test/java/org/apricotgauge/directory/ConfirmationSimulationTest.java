package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Measures the platform calls by which a simulated fleet keeps all views of the site fresh.
 *
 * <p>The simulation runs in steps of a millisecond. Nodes send each other requests, whose
 * acknowledgements report the age of the sender's view, and query the platform when their own view
 * becomes too old. All watches are silent, which is the worst case: only queries confirm a view.
 */
class ConfirmationSimulationTest {
    private static final PlatformTimes TIMES = new PlatformTimes(2_000, 1_500);
    private static final long TICK_MILLIS = 100;
    private static final long PLATFORM_LATENCY_MILLIS = 4;

    private static final long HOP_LATENCY_MILLIS = 4;

    /** A node reports its view's age in at most one acknowledgement per interval. */
    private static final long REPORT_INTERVAL_MILLIS = 10;

    /** Duration after which the fleet is in a steady state. */
    private static final long WARM_UP_MILLIS = 2_000;

    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * The result of a simulation after its warm-up.
     *
     * @param callsPerSecond platform calls of the whole fleet
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
            double dueRequests = 0;
            for (long now = 1; now <= WARM_UP_MILLIS + millis; now++) {
                for (dueRequests += mNodes * requestsPerNodeAndSecond / MILLIS_PER_SECOND;
                        dueRequests >= 1;
                        dueRequests--) {
                    simulateRequest(now);
                }
                long queries = queryPlatform(now);
                if (now > WARM_UP_MILLIS) {
                    calls += queries;
                    oldestMillis = Math.max(oldestMillis, oldestMillis(now));
                }
            }
            return new SimulationResult(calls * (double) MILLIS_PER_SECOND / millis, oldestMillis);
        }

        /** Simulates a request between two nodes, with its acknowledgement. */
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
            long queries = 0;
            for (int node = 0; node < mNodes; node++) {
                if (mAnsweredAtMillis[node] <= now) {
                    mAnsweredAtMillis[node] = Long.MAX_VALUE;
                    mViews.get(node).recordRead(now, now);
                }
                boolean ticks = (now + node) % TICK_MILLIS == 0;
                boolean isWaiting = mAnsweredAtMillis[node] != Long.MAX_VALUE;
                if (ticks
                        && !isWaiting
                        && mViews.get(node).ageMillis(now) >= mQueryAtAgeMillis[node]) {
                    mQueryAtAgeMillis[node] = drawQueryAgeMillis();
                    mAnsweredAtMillis[node] = now + PLATFORM_LATENCY_MILLIS;
                    queries++;
                }
            }
            return queries;
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
        print("24 nodes without reports to each other", alone);
        assertFresh(shared);
        assertFresh(alone);
        assertThat(shared.callsPerSecond()).isLessThan(alone.callsPerSecond());
    }

    @Test
    void largeFleetStaysWithinPlatformRate() {
        // The expected fleet in two years: 7,100 nodes with 239 requests per second each. The
        // platform serves 2,000 calls per second in total, of which watches of 10 s take 710.
        SimulationResult result = new FleetModel(7_100, 2).run(239, 1_500);

        print("7,100 nodes", result);
        assertFresh(result);
        assertThat(result.callsPerSecond()).isLessThan(2_000 - 710);
    }

    private static void assertFresh(SimulationResult result) {
        assertThat(result.oldestMillis())
                .isLessThanOrEqualTo(
                        TIMES.maxViewAgeMillis() + TICK_MILLIS + PLATFORM_LATENCY_MILLIS);
    }

    private static void print(String fleet, SimulationResult result) {
        System.out.printf(
                "%s: %.1f calls a second, oldest view %d ms%n",
                fleet, result.callsPerSecond(), result.oldestMillis());
    }
}
