package org.apricotgauge.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.apricotgauge.model.Priority;
import org.junit.jupiter.api.Test;

/**
 * A population of requests at one entry whose service sheds for seconds, and retries that are
 * scarce. Each request has 6 s; its answer takes 400 ms and is worth most within 1.5 s.
 */
class ShedSpellTest {
    private static final long TIME_MILLIS = 6_000;
    private static final long FULL_MILLIS = 1_500;
    private static final long RUN_MILLIS = 400;
    private static final long SPELL_START_MILLIS = 2_000;
    private static final long SPELL_END_MILLIS = 10_500;
    private static final long RETRY_INTERVAL_MILLIS = 500;
    private static final double RETRIES_PER_REQUEST = 0.2;

    private final SplittableRandom mRandom = new SplittableRandom(3);
    private final ShedMonitor mMonitor = new ShedMonitor(RETRIES_PER_REQUEST);
    private final RetryQueue<Integer> mQueue = new RetryQueue<>(new RetryQueue.Bounds(64, 100_000));
    private final int[] mServed = new int[Priority.values().length];
    private final int[] mAsked = new int[Priority.values().length];
    private long mLongestRefusedMillis;
    private boolean mRanks = true;

    private boolean sheds(long nowMillis) {
        return nowMillis >= SPELL_START_MILLIS
                && nowMillis < SPELL_END_MILLIS
                && mRandom.nextInt(100) < 55;
    }

    private boolean send(Priority priority, long nowMillis) {
        boolean shed = sheds(nowMillis);
        mMonitor.record("t", shed, nowMillis);
        mServed[priority.ordinal()] += shed ? 0 : 1;
        return !shed;
    }

    private RetryQueue.Place<Integer> place(Priority priority, long arrivedMillis) {
        return new RetryQueue.Place<>(
                (int) arrivedMillis,
                priority,
                arrivedMillis,
                arrivedMillis + FULL_MILLIS - RUN_MILLIS,
                arrivedMillis + TIME_MILLIS - RUN_MILLIS,
                100,
                ReturnSchedule.Arrival.NEW);
    }

    private void play() {
        List<RetryQueue.Place<Integer>> unranked = new ArrayList<>();
        for (long now = 0; now < 16_000; now += 50) {
            if (now < 13_000 && now % 200 == 0) {
                Priority priority = now % 600 == 0 ? Priority.PATIENT : Priority.URGENT;
                mAsked[priority.ordinal()]++;
                if (!send(priority, now)) {
                    if (mRanks) {
                        refuse(mQueue.enter(place(priority, now), now), now);
                    } else {
                        unranked.add(place(priority, now));
                    }
                }
            }
            refuse(mQueue.expire(now), now);
            if (now % RETRY_INTERVAL_MILLIS == 0) {
                long at = now;
                Optional<RetryQueue.Place<Integer>> next =
                        mRanks ? mQueue.takeFirst(now) : unranked.stream().findFirst();
                unranked.clear();
                next.ifPresent(one -> mQueue.onRetry(at));
                if (next.isPresent() && !send(next.get().priority(), now)) {
                    refuse(mQueue.enter(next.get(), now), now);
                }
            }
        }
    }

    private void refuse(List<RetryQueue.Refusal<Integer>> refused, long nowMillis) {
        for (RetryQueue.Refusal<Integer> refusal : refused) {
            mLongestRefusedMillis =
                    Math.max(mLongestRefusedMillis, nowMillis - refusal.place().enteredMillis());
        }
    }

    private double servedShare(Priority priority) {
        return (double) mServed[priority.ordinal()] / mAsked[priority.ordinal()];
    }

    /** Load: a service that sheds 55 of 100 requests for 8.5 s; urgent and patient callers. */
    @Test
    void urgentRequestsAreServedMoreOftenAndOthersWaitForTheEnd() {
        play();

        assertThat(servedShare(Priority.URGENT)).isGreaterThan(0.75);
        assertThat(servedShare(Priority.URGENT)).isGreaterThan(servedShare(Priority.PATIENT));
        int servedByRank = mServed[1] + mServed[3];
        ShedSpellTest atOnce = new ShedSpellTest();
        atOnce.mRanks = false;
        atOnce.play();
        assertThat(servedByRank).isGreaterThan(atOnce.mServed[1] + atOnce.mServed[3]);
    }

    /** Guards against a wait that ends after its answer is of use to the caller. */
    @Test
    void noRequestIsHeldBeyondItsUse() {
        play();

        assertThat(mLongestRefusedMillis).isLessThanOrEqualTo(TIME_MILLIS - RUN_MILLIS + 50);
        assertThat(mQueue.size()).isZero();
    }

    /** Load: a burst of a hundred shed requests, and two retries a second. */
    @Test
    void whoseTurnCannotComeInTimeIsRefusedAtOnce() {
        List<RetryQueue.Refusal<Integer>> refused = new ArrayList<>();
        for (long now = 0; now < 2_000; now += 20) {
            refused.addAll(mQueue.enter(place(Priority.NORMAL, now), now));
            if (now % RETRY_INTERVAL_MILLIS == 0) {
                mQueue.takeFirst(now);
                mQueue.onRetry(now);
            }
        }

        assertThat(refused)
                .extracting(RetryQueue.Refusal::reason)
                .contains(RetryQueue.Reason.TURN_TOO_LATE);
        assertThat(mQueue.size()).isLessThanOrEqualTo(64);
        assertThat(refused)
                .filteredOn(one -> one.reason() == RetryQueue.Reason.TURN_TOO_LATE)
                .allMatch(one -> one.place().enteredMillis() >= 1_000);
    }

    /** Guards against unbounded memory: bodies of waiting requests. */
    @Test
    void theLastRankLeavesWhenBytesRunOut() {
        RetryQueue<Integer> queue = new RetryQueue<>(new RetryQueue.Bounds(64, 250));
        queue.enter(place(Priority.PATIENT, 0), 0);
        queue.enter(place(Priority.URGENT, 1), 1);
        List<RetryQueue.Refusal<Integer>> refused = queue.enter(place(Priority.URGENT, 2), 2);

        assertThat(refused).hasSize(1);
        assertThat(refused.get(0).place().priority()).isEqualTo(Priority.PATIENT);
        assertThat(queue.firstRank(2)).contains(new RetryRank(RetryRank.Use.FULL, Priority.URGENT));
    }

    /** Load: a third of the targets shed all requests; retries go to those that answered. */
    @Test
    void retriesAvoidTheTargetsThatJustShed() {
        int sheddingRetries = 0;
        for (int i = 0; i < 300; i++) {
            int target = mRandom.nextInt(9);
            mMonitor.record("t" + target, target < 3, i * 20L);
            List<String> others = new ArrayList<>();
            for (int other = 0; other < 9; other++) {
                others.add("t" + other);
            }
            others.removeAll(mMonitor.lastShedBy(i * 20L));
            String retry = others.get(mRandom.nextInt(others.size()));
            sheddingRetries += retry.compareTo("t3") < 0 ? 1 : 0;
        }

        // By chance it would be a hundred.
        assertThat(sheddingRetries).isLessThan(50);
    }

    /** Guards against a spell that is never recognised, or never ends, at one entry. */
    @Test
    void theMonitorFollowsAnswersAndForgetsOldOnes() {
        for (int i = 0; i < 8; i++) {
            mMonitor.record("t" + i % 4, i % 2 == 0, i);
        }
        assertThat(mMonitor.isShedding(8)).isTrue();
        assertThat(mMonitor.lastShedBy(8)).containsExactlyInAnyOrder("t0", "t2");

        assertThat(mMonitor.isShedding(8_000)).isFalse();
        for (int i = 0; i < 8; i++) {
            mMonitor.record("t" + i % 4, false, 8_000);
        }
        assertThat(mMonitor.isShedding(8_000)).isFalse();
        assertThat(mMonitor.ageMillis(8_100)).isEqualTo(100);
    }

    /** Load: one shed request of eight, as happens by chance, is no spell. */
    @Test
    void aSingleShedRequestIsNoSpell() {
        for (int i = 0; i < 8; i++) {
            mMonitor.record("t", i == 3, i);
        }

        assertThat(mMonitor.isShedding(8)).isFalse();
    }
}
