package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Service;
import org.junit.jupiter.api.Test;

/** Retries of a fleet whose nodes count them over a window, by rank. */
class WindowRetryBudgetTest {
    private static final int GUARDS = 12;
    private static final long WINDOW_MILLIS = 10_000;
    private static final double PER_WINDOW = 120;
    private static final double SHARE = 0.2;
    private static final Service SERVICE =
            new Service("s", 0, new DetectionOdds(1, 1), 20, 100, null);
    private static final RetryRank URGENT = new RetryRank(RetryRank.Use.FULL, Priority.URGENT);
    private static final RetryRank PATIENT = new RetryRank(RetryRank.Use.FULL, Priority.PATIENT);
    private static final RetryRank LATE = new RetryRank(RetryRank.Use.LATE, Priority.URGENT);

    private final SplittableRandom mRandom = new SplittableRandom(17);

    /** Guards of a fleet; each creates its budgets as a node does, and has a view of its own. */
    private static final class Fleet {
        private final RetryAllowancePolicy mPolicy;
        private final List<RetryBudgetRegistry> mGuards = new ArrayList<>();
        private final List<Integer> mViews = new ArrayList<>();

        Fleet(RetryAllowancePolicy policy, int guards) {
            mPolicy = policy;
            for (int i = 0; i < guards; i++) {
                mGuards.add(new RetryBudgetRegistry(policy, 0));
                mViews.add(guards);
            }
        }

        RetryBudget budget(int guard) {
            return mGuards.get(guard).of(SERVICE, mViews.get(guard));
        }

        void restart(int guard, long nowMillis) {
            mGuards.set(guard, new RetryBudgetRegistry(mPolicy, nowMillis));
        }
    }

    private static int mostInWindow(List<Long> sorted, long windowMillis) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= windowMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Guards against more retries than allowed when guards restart and their views disagree. */
    @Test
    void theTotalHoldsInEveryWindowWhateverNodesLeaveOrReturn() {
        Fleet fleet = new Fleet(RetryAllowancePolicy.ofFleetByRank(PER_WINDOW, 10), GUARDS);
        List<Long> retries = new ArrayList<>();
        List<Long> requests = new ArrayList<>();
        for (long now = 0; now < 120_000; now += 20) {
            int up = guardsUp(now);
            // Nodes learn of lost and of new guards one by one.
            fleet.mViews.set(mRandom.nextInt(up), up);
            if (now % 1_700 == 0) {
                fleet.restart(mRandom.nextInt(up), now);
            }
            for (int guard = up; guard < GUARDS; guard++) {
                fleet.restart(guard, now);
            }
            fleet.budget(mRandom.nextInt(up)).onRequest(now);
            requests.add(now);
            for (int guard = 0; guard < up; guard++) {
                while (fleet.budget(guard).tryRetry(now, RetryRank.FIRST)) {
                    retries.add(now);
                }
            }
        }

        int mostRequests = mostInWindow(requests, WINDOW_MILLIS);
        assertThat(mostInWindow(retries, WINDOW_MILLIS))
                .isLessThanOrEqualTo((int) (PER_WINDOW + SHARE * mostRequests));
        assertThat(retries.size()).isGreaterThan((int) (SHARE * requests.size() / 2));
    }

    private static int guardsUp(long nowMillis) {
        return nowMillis / 15_000 % 2 == 1 ? GUARDS - 4 : GUARDS;
    }

    /** Load: all targets of a service shed 55 of 100 requests for 8.5 s. */
    @Test
    void aSpellUsesNearlyAllThatTheWindowAllows() {
        double byBucket = usedShare(RetryAllowancePolicy.ofFleet(PER_WINDOW, 10));
        double byWindow = usedShare(RetryAllowancePolicy.ofFleetByRank(PER_WINDOW, 10));

        assertThat(byWindow).isBetween(0.9, 1.0);
        assertThat(byBucket).isLessThan(0.9);
    }

    // Two hundred requests per second at forty guards; a retry of each shed request is asked for at
    // four guards at most.
    private double usedShare(RetryAllowancePolicy policy) {
        int guards = 40;
        Fleet fleet = new Fleet(policy, guards);
        int used = 0;
        for (long now = 0; now < 28_500; now += 5) {
            int guard = mRandom.nextInt(guards);
            fleet.budget(guard).onRequest(now);
            boolean spell = now >= 20_000;
            while (spell && mRandom.nextInt(100) < 55) {
                boolean granted = fleet.budget(guard).tryRetry(now, URGENT);
                for (int look = 0; look < 4 && !granted; look++) {
                    guard = mRandom.nextInt(guards);
                    granted = fleet.budget(guard).tryRetry(now, URGENT);
                }
                if (!granted) {
                    break;
                }
                used++;
                guard = mRandom.nextInt(guards);
            }
        }
        return used / (PER_WINDOW + SHARE * 200 * 10);
    }

    /** Load: three ranks ask for more than twice of what a window allows. */
    @Test
    void scarceRetriesGoToTheFirstRanks() {
        int[] granted = grantedOf(30);

        assertThat(granted[0]).isGreaterThan(3 * granted[1]);
        assertThat(granted[1] + granted[2]).isPositive();
    }

    /** Load: three ranks ask for less than a window allows. */
    @Test
    void whileThereIsPlentyTheLastRankGetsAll() {
        int[] granted = grantedOf(400);

        assertThat(granted[2]).isGreaterThan(95);
    }

    private static int[] grantedOf(double part) {
        WindowRetryBudget budget = new WindowRetryBudget(WINDOW_MILLIS, 0);
        budget.setBounds(0, part);
        int[] granted = new int[3];
        for (int i = 0; i < 100; i++) {
            long now = 20_000 + i * 90L;
            RetryRank[] ranks = {LATE, PATIENT, URGENT};
            for (int rank = 0; rank < ranks.length; rank++) {
                granted[2 - rank] += budget.tryRetry(now, ranks[rank]) ? 1 : 0;
            }
        }
        return granted;
    }
}
