package org.apricotgauge.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Priority;
import org.junit.jupiter.api.Test;

/** Refused callers that obey what they are told, ignore it, or leave. */
class ReturnScheduleTest {
    private static final double TURNS_PER_SECOND = 5;
    private static final long DEADLINE_MILLIS = 9_000;

    private final ReturnSchedule mSchedule = new ReturnSchedule();

    private long refuse(int caller, Priority priority, long nowMillis) {
        return mSchedule.nextReturnMillis(caller(caller), priority, TURNS_PER_SECOND, nowMillis);
    }

    private static ReturnSchedule.Caller caller(int caller) {
        return new ReturnSchedule.Caller(caller, DEADLINE_MILLIS);
    }

    /** Load: a burst of callers that are refused at the same moment. */
    @Test
    void callersReturnSpreadOverTheTimesThatComeFree() {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            delays.add(refuse(i, Priority.NORMAL, 0));
        }

        assertThat(delays).doesNotHaveDuplicates();
        assertThat(delays.get(0)).isEqualTo(200);
        assertThat(delays.get(11)).isEqualTo(2_400);
    }

    /** Guards against a delay that callers do not honour: over a third of the time left. */
    @Test
    void noCallerIsToldMoreThanAThirdOfItsTime() {
        for (int i = 0; i < 100; i++) {
            assertThat(refuse(i, Priority.NORMAL, 0)).isBetween(100L, DEADLINE_MILLIS / 3);
        }
    }

    /** Load: more callers than times before the longest delay, who would all return at once. */
    @Test
    void callersForWhomNoTimeIsFreeReturnAtDifferentTimes() {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            delays.add(refuse(i, Priority.NORMAL, 0));
        }

        for (long from : delays) {
            assertThat(delays.stream().filter(one -> one >= from && one < from + 100))
                    .hasSizeLessThanOrEqualTo(8);
        }
    }

    /** Guards against a schedule that stays ahead for minutes after many refusals. */
    @Test
    void refusalsBeyondTheLongestDelayTakeNoTime() {
        for (int i = 0; i < 1_000; i++) {
            refuse(i, Priority.URGENT, 0);
        }

        assertThat(refuse(2_000, Priority.PATIENT, 4_000)).isEqualTo(200);
        assertThat(refuse(2_001, Priority.URGENT, 4_000)).isEqualTo(200);
    }

    /** Load: patient callers, refused before the urgent ones, do not take their times. */
    @Test
    void urgentCallersReturnFirst() {
        for (int i = 0; i < 8; i++) {
            refuse(i, Priority.PATIENT, 0);
        }
        assertThat(refuse(100, Priority.URGENT, 0)).isEqualTo(200);
        assertThat(refuse(101, Priority.URGENT, 0)).isEqualTo(400);
        assertThat(refuse(102, Priority.PATIENT, 0)).isGreaterThan(1_800);
    }

    /** Load: a caller that repeats at once and often among callers that obey. */
    @Test
    void aCallerThatRepeatsGainsNothingAndCostsOthersNothing() {
        long told = refuse(1, Priority.NORMAL, 0);
        for (long now = 10; now < 100; now += 10) {
            assertThat(mSchedule.onRequest(caller(1), now)).isEqualTo(ReturnSchedule.Arrival.EARLY);
            assertThat(now + refuse(1, Priority.NORMAL, now))
                    .isBetween(told, Math.max(told, now + 100));
        }

        assertThat(refuse(2, Priority.NORMAL, 100)).isEqualTo(300);
        assertThat(mSchedule.onRequest(caller(1), told)).isEqualTo(ReturnSchedule.Arrival.ON_TIME);
    }

    /** Guards against a second refusal of the same caller while another is served for the first. */
    @Test
    void aCallerThatCameOnTimeGoesFirstInItsRank() {
        RetryQueue<Integer> queue = new RetryQueue<>(new RetryQueue.Bounds(2, 1_000));
        for (int i = 0; i < 3; i++) {
            ReturnSchedule.Arrival arrival =
                    i == 2 ? ReturnSchedule.Arrival.ON_TIME : ReturnSchedule.Arrival.NEW;
            queue.enter(
                    new RetryQueue.Place<>(i, Priority.NORMAL, 0, 500 + i, 5_000 + i, 1, arrival),
                    0);
        }

        assertThat(queue.takeFirst(0).orElseThrow().request()).isEqualTo(2);
    }

    /** Guards against a new caller that loses its rank as it looks like one that came early. */
    @Test
    void aCallerThatCameEarlyKeepsItsRankAndGoesLastInIt() {
        RetryQueue<String> queue = new RetryQueue<>(new RetryQueue.Bounds(3, 1_000));
        enter(queue, "early", Priority.URGENT, ReturnSchedule.Arrival.EARLY, 4_000);
        enter(queue, "new", Priority.URGENT, ReturnSchedule.Arrival.NEW, 5_000);
        enter(queue, "patient", Priority.PATIENT, ReturnSchedule.Arrival.ON_TIME, 3_000);

        assertThat(queue.takeFirst(0).orElseThrow().request()).isEqualTo("new");
        assertThat(queue.takeFirst(0).orElseThrow().request()).isEqualTo("early");
        assertThat(queue.takeFirst(0).orElseThrow().request()).isEqualTo("patient");
    }

    private static void enter(
            RetryQueue<String> queue,
            String request,
            Priority priority,
            ReturnSchedule.Arrival arrival,
            long useUntilMillis) {
        queue.enter(
                new RetryQueue.Place<>(request, priority, 0, 500, useUntilMillis, 1, arrival), 0);
    }

    /** Load: callers that leave; their times are void and no memory is kept. */
    @Test
    void returnTimesOfCallersThatLeftAreForgotten() {
        refuse(1, Priority.NORMAL, 0);

        assertThat(mSchedule.onRequest(caller(1), 6_000)).isEqualTo(ReturnSchedule.Arrival.NEW);
    }

    /** Guards against callers of the same path that are taken for one that repeats. */
    @Test
    void anotherCallerOfTheSamePathIsNew() {
        refuse(1, Priority.NORMAL, 0);

        ReturnSchedule.Caller other = new ReturnSchedule.Caller(1, DEADLINE_MILLIS + 1_000);
        assertThat(mSchedule.onRequest(other, 10)).isEqualTo(ReturnSchedule.Arrival.NEW);
    }
}
