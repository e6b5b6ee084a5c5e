package org.apricotgauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final long SERVICE_MICROS = 10_000;

    private final AdmissionQueue mQueue = new AdmissionQueue(config(2, 6));
    private long mNextId;

    @Test
    void rejectsTicketThatCannotMeetItsDeadlineWithRetryAfter() {
        fillSlots();
        AdmissionDecision decision = mQueue.offer(ticket("m", Priority.NORMAL, 12), 0);
        assertThat(decision)
                .isInstanceOfSatisfying(
                        AdmissionDecision.Rejected.class,
                        rejected -> {
                            assertThat(rejected.rejection().reason())
                                    .isEqualTo(RejectionReason.DEADLINE_TOO_SHORT);
                            assertThat(rejected.rejection().retryAfterMillis()).isPositive();
                        });
    }

    /**
     * Guards against requests that queue at a rate-limited target though another could serve them.
     */
    @Test
    void rateLimitedTargetRejectsTicketThatMustNotWaitWithRetryAfter() {
        mQueue.setStartLimit(1, 0);

        Ticket noWait =
                new Ticket(
                        mNextId++,
                        new Member("m", 1),
                        Priority.NORMAL,
                        "w",
                        false,
                        QueueingPolicy.NO_WAIT,
                        10_000,
                        10_000);
        assertThat(mQueue.offer(noWait, 0))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Rejected.class,
                        rejected -> {
                            assertThat(rejected.rejection().reason())
                                    .isEqualTo(RejectionReason.BUSY);
                            assertThat(rejected.rejection().retryAfterMillis()).isEqualTo(1_000);
                        });
        assertThat(mQueue.offer(ticket("m", Priority.NORMAL, 900), 0))
                .isInstanceOf(AdmissionDecision.Rejected.class);
    }

    /** Guards against a request that is kept beside its entry where it would not start at once. */
    @Test
    void noSlotIsFreeWhileAllAreInUseATicketWaitsOrNoStartIsPermitted() {
        assertThat(mQueue.freeSlots(0)).isEqualTo(2);
        mQueue.setStartLimit(1, 0);
        assertThat(mQueue.freeSlots(0)).isZero();
        mQueue.offer(ticket("m", Priority.NORMAL, 10_000), 0);
        mQueue.removeStartLimit(0);
        assertThat(mQueue.freeSlots(0)).isEqualTo(1);
        mQueue.offer(ticket("m", Priority.NORMAL, 10_000), 0);
        assertThat(mQueue.freeSlots(0)).isZero();
    }

    @Test
    void ticketsQueuedForRateLimitedTargetStartInOrder() {
        mQueue.setStartLimit(1, 0);
        Ticket first = ticket("m", Priority.NORMAL, 10_000);
        Ticket second = ticket("m", Priority.NORMAL, 10_000);
        assertThat(mQueue.offer(first, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(mQueue.offer(second, 0)).isInstanceOf(AdmissionDecision.Queued.class);

        assertThat(mQueue.expire(999).admitted()).isEmpty();
        assertThat(mQueue.expire(1_000).admitted()).containsExactly(first);
        assertThat(mQueue.release(first, RunResult.UNSENT, 0, 1_001).admitted())
                .containsExactly(second);
        assertThat(mQueue.release(second, RunResult.ANSWERED, SERVICE_MICROS, 1_100).admitted())
                .isEmpty();
        assertThat(mQueue.isRateLimited(1_100)).isTrue();
    }

    @Test
    void removingStartLimitStartsQueuedTickets() {
        mQueue.setStartLimit(1, 0);
        Ticket queued = ticket("m", Priority.NORMAL, 10_000);
        mQueue.offer(queued, 0);

        assertThat(mQueue.removeStartLimit(10).admitted()).containsExactly(queued);
    }

    @Test
    void rejectsQueuedTicketWhoseDeadlineIsTooNear() {
        List<Ticket> running = fillSlots();
        Ticket queued = ticket("m", Priority.NORMAL, 100);
        assertThat(mQueue.offer(queued, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(mQueue.expire(50)).isEqualTo(QueueChanges.NONE);
        QueueChanges changes =
                mQueue.release(running.get(0), RunResult.ANSWERED, SERVICE_MICROS, 99);
        assertThat(changes.admitted()).isEmpty();
        assertThat(changes.rejected()).extracting(Rejection::ticket).containsExactly(queued);
        assertThat(mQueue.inFlight()).isEqualTo(1);
    }

    @Test
    void fullQueueDisplacesTicketOfMemberWithMostQueued() {
        fillSlots();
        for (int i = 0; i < 6; i++) {
            mQueue.offer(ticket("greedy", Priority.NORMAL, 10_000), 0);
        }
        assertThat(mQueue.offer(ticket("greedy", Priority.NORMAL, 10_000), 0))
                .isInstanceOf(AdmissionDecision.Rejected.class);
        assertThat(mQueue.offer(ticket("modest", Priority.PATIENT, 10_000), 0))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Queued.class,
                        queued ->
                                assertThat(queued.displaced())
                                        .extracting(rejection -> rejection.ticket().member().id())
                                        .containsExactly("greedy"));
        assertThat(mQueue.queued()).isEqualTo(6);
    }

    @Test
    void sharesSlotsByWeightWithoutStarvingAnyClass() {
        AdmissionQueue queue = new AdmissionQueue(config(1, 300));
        Member light = new Member("light", 1);
        Member heavy = new Member("heavy", 3);
        for (int i = 0; i < 90; i++) {
            queue.offer(new Ticket(mNextId++, light, Priority.URGENT, 1_000_000), 0);
            queue.offer(new Ticket(mNextId++, heavy, Priority.URGENT, 1_000_000), 0);
            queue.offer(new Ticket(mNextId++, heavy, Priority.PATIENT, 1_000_000), 0);
        }
        Map<String, Integer> served = new HashMap<>();
        Ticket running = new Ticket(0, light, Priority.URGENT, 1_000_000);
        for (int i = 1; i <= 80; i++) {
            QueueChanges changes =
                    queue.release(running, RunResult.ANSWERED, SERVICE_MICROS, i * 10L);
            running = changes.admitted().get(0);
            served.merge(running.member().id(), 1, Integer::sum);
            served.merge(running.priority().name(), 1, Integer::sum);
        }
        assertThat(served.get("heavy")).isBetween(56, 64);
        assertThat(served.get("PATIENT")).isBetween(5, 9);
    }

    @Test
    void concurrencyLimitFollowsShedRequestsAndRecovers() {
        AdmissionQueue queue = new AdmissionQueue(config(3, 300));
        List<Ticket> running = new ArrayList<>();
        long nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            Ticket ticket = ticket("m", Priority.NORMAL, 1_000_000);
            if (queue.offer(ticket, nowMillis) instanceof AdmissionDecision.Admitted) {
                running.add(ticket);
            }
        }
        // Another system uses one of the three slots for the first second.
        int sheds = 0;
        while (nowMillis < 2_000) {
            nowMillis += 10;
            boolean shed = nowMillis < 1_000 && running.size() > 2;
            sheds += shed ? 1 : 0;
            RunResult result = shed ? RunResult.SHED : RunResult.ANSWERED;
            // The target sheds the request that was started last.
            Ticket done = running.remove(shed ? running.size() - 1 : 0);
            running.addAll(queue.release(done, result, SERVICE_MICROS, nowMillis).admitted());
            queue.offer(ticket("m", Priority.NORMAL, 1_000_000), nowMillis);
            assertThat(queue.concurrencyLimit()).isEqualTo(shed ? 2 : queue.inFlight());
        }
        // The growth delay doubles: 50, 100, 200, 400 ms, so about five attempts in the second.
        assertThat(sheds).isBetween(3, 6);
        assertThat(queue.concurrencyLimit()).isEqualTo(3);
    }

    @Test
    void boundsMemoryForArbitraryMemberIds() {
        AdmissionQueue queue = new AdmissionQueue(new AdmissionConfig(1, 300, 8, 10_000));
        for (int i = 0; i < 300; i++) {
            queue.offer(ticket("made-up-" + i, Priority.NORMAL, 1_000_000), 0);
        }
        assertThat(queue.memberCount()).isLessThanOrEqualTo(8 + 16);
    }

    @Test
    void estimatesServiceTimePerKindOfWorkNotPerPriority() {
        // Reports of 600 ms and lookups of 60 ms share a priority class. A lookup with 600 ms left
        // arrives while all slots are busy. With one estimate for the class it would be rejected,
        // and the booking that waits for it would fail.
        AdmissionQueue queue = new AdmissionQueue(config(2, 6));
        for (int i = 0; i < 20; i++) {
            serve(queue, "report", 600_000);
            serve(queue, "lookup", 60_000);
        }
        queue.offer(ticketOfKind("report", 10_000), 0);
        queue.offer(ticketOfKind("report", 10_000), 0);

        assertThat(queue.offer(ticketOfKind("lookup", 600), 0))
                .isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(queue.offer(ticketOfKind("report", 600), 0))
                .isInstanceOf(AdmissionDecision.Rejected.class);
    }

    @Test
    void servesEarliestDeadlineOfClassFirst() {
        AdmissionQueue queue = new AdmissionQueue(config(1, 6));
        Ticket running = ticket("m", Priority.URGENT, 10_000);
        Ticket booking = ticket("m", Priority.URGENT, 1_500);
        Ticket lookup = ticket("m", Priority.URGENT, 600);
        queue.offer(running, 0);
        queue.offer(booking, 0);
        queue.offer(lookup, 0);

        QueueChanges changes = queue.release(running, RunResult.ANSWERED, SERVICE_MICROS, 10);

        assertThat(changes.admitted()).containsExactly(lookup);
    }

    @Test
    void rejectsTicketThatMustNotWaitWhileNoSlotIsFree() {
        List<Ticket> running = fillSlots();
        Ticket noWait = ticketWithPolicy(QueueingPolicy.NO_WAIT, 10_000);
        assertThat(mQueue.offer(noWait, 0))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Rejected.class,
                        rejected ->
                                assertThat(rejected.rejection().reason())
                                        .isEqualTo(RejectionReason.BUSY));

        mQueue.release(running.get(0), RunResult.ANSWERED, SERVICE_MICROS, 10);

        assertThat(mQueue.offer(noWait, 10)).isInstanceOf(AdmissionDecision.Admitted.class);
    }

    @Test
    void exclusiveTargetThatShedsKeepsItsConcurrencyLimit() {
        // A faulty target sheds half of its requests while slots are free. If its limit decreased,
        // the other half would queue for one slot of three and miss its deadlines.
        AdmissionQueue queue =
                new AdmissionQueue(
                        new AdmissionConfig(
                                3, 6, 100, SERVICE_MICROS, AdmissionConfig.SlotUse.EXCLUSIVE));
        for (int i = 0; i < 20; i++) {
            Ticket shed = ticket("m", Priority.NORMAL, 10_000);
            queue.offer(shed, i);
            queue.release(shed, RunResult.SHED, 1_000, i);
        }

        assertThat(queue.concurrencyLimit()).isEqualTo(3);
    }

    private void serve(AdmissionQueue queue, String workKind, long serviceMicros) {
        Ticket ticket = ticketOfKind(workKind, 100_000);
        queue.offer(ticket, 0);
        queue.release(ticket, RunResult.ANSWERED, serviceMicros, 0);
    }

    private Ticket ticketOfKind(String workKind, long deadlineMillis) {
        return new Ticket(
                mNextId++,
                new Member("m", 1),
                Priority.NORMAL,
                workKind,
                false,
                QueueingPolicy.MAY_WAIT,
                deadlineMillis,
                deadlineMillis);
    }

    private Ticket ticketWithPolicy(QueueingPolicy queueingPolicy, long softDeadlineMillis) {
        return new Ticket(
                mNextId++,
                new Member("m", 1),
                Priority.NORMAL,
                "work",
                false,
                queueingPolicy,
                softDeadlineMillis,
                100_000);
    }

    @Test
    void servesNestedCallBeforeOtherTicketsOfItsClass() {
        // Orders are queued at a busy target, one of them with little time left, when a lookup
        // arrives for an order that is running elsewhere. The lookup gets the next slot, because
        // that order holds a slot meanwhile and fails if its lookup fails.
        List<Ticket> running = fillSlots();
        for (int i = 0; i < 4; i++) {
            mQueue.offer(ticket("m", Priority.URGENT, 10_000), 0);
        }
        assertThat(mQueue.offer(ticket("m", Priority.URGENT, 20), 0))
                .isInstanceOf(AdmissionDecision.Queued.class);
        Ticket call =
                new Ticket(
                        mNextId++,
                        new Member("m", 1),
                        Priority.URGENT,
                        "lookup",
                        true,
                        QueueingPolicy.MAY_WAIT,
                        25,
                        25);

        assertThat(mQueue.offer(call, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        QueueChanges changes =
                mQueue.release(running.get(0), RunResult.ANSWERED, SERVICE_MICROS, 5);

        assertThat(changes.admitted()).containsExactly(call);
    }

    @Test
    void servesTicketThatMeetsItsSoftDeadlineFirst() {
        // In the order of arrival, both would be late. The first can no longer meet its soft
        // deadline and waits until its deadline; the second, which arrived later, can, and is
        // served first.
        AdmissionQueue queue = new AdmissionQueue(config(1, 6));
        Ticket running = ticket("m", Priority.NORMAL, 100_000);
        Ticket late = ticketWithPolicy(QueueingPolicy.MAY_WAIT, 15);
        Ticket onTime = ticketWithPolicy(QueueingPolicy.WHILE_USEFUL, 500);
        queue.offer(running, 0);
        assertThat(queue.offer(late, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(queue.offer(onTime, 0)).isInstanceOf(AdmissionDecision.Queued.class);

        QueueChanges changes = queue.release(running, RunResult.ANSWERED, SERVICE_MICROS, 10);

        assertThat(changes.admitted()).containsExactly(onTime);
        assertThat(queue.queued()).isEqualTo(1);
    }

    @Test
    void rejectsLateTicketBehindFullRoundOfTickets() {
        // A busy target has one round of requests queued, and more keep arriving that overtake a
        // late one until its deadline. So it is rejected at once and can try another target.
        List<Ticket> running = fillSlots();
        assertThat(mQueue.offer(ticketWithPolicy(QueueingPolicy.MAY_WAIT, 0), 0))
                .isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(mQueue.offer(ticketWithPolicy(QueueingPolicy.MAY_WAIT, 500), 0))
                .isInstanceOf(AdmissionDecision.Queued.class);

        assertThat(mQueue.offer(ticketWithPolicy(QueueingPolicy.MAY_WAIT, 0), 0))
                .isInstanceOfSatisfying(
                        AdmissionDecision.Rejected.class,
                        rejected ->
                                assertThat(rejected.rejection().reason())
                                        .isEqualTo(RejectionReason.BUSY));
        assertThat(mQueue.offer(ticketWithPolicy(QueueingPolicy.MAY_WAIT, 500), 0))
                .isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(running).hasSize(2);
    }

    @Test
    void rejectsQueuedTicketThatMissesItsSoftDeadline() {
        List<Ticket> running = fillSlots();
        Ticket whileUseful = ticketWithPolicy(QueueingPolicy.WHILE_USEFUL, 100);
        Ticket mayWait = ticketWithPolicy(QueueingPolicy.MAY_WAIT, 100);
        assertThat(mQueue.offer(whileUseful, 0)).isInstanceOf(AdmissionDecision.Queued.class);
        assertThat(mQueue.offer(mayWait, 0)).isInstanceOf(AdmissionDecision.Queued.class);

        QueueChanges changes = mQueue.expire(95);

        assertThat(changes.rejected()).extracting(Rejection::ticket).containsExactly(whileUseful);
        assertThat(changes.rejected().get(0).reason()).isEqualTo(RejectionReason.BUSY);
        assertThat(mQueue.offer(ticketWithPolicy(QueueingPolicy.WHILE_USEFUL, 100), 95))
                .isInstanceOf(AdmissionDecision.Rejected.class);
        QueueChanges freed = mQueue.release(running.get(0), RunResult.ANSWERED, SERVICE_MICROS, 96);
        assertThat(freed.admitted()).containsExactly(mayWait);
    }

    @Test
    void releaseWithoutSlotThrows() {
        Ticket ticket = ticket("m", Priority.NORMAL, 100);
        assertThatThrownBy(() -> mQueue.release(ticket, RunResult.ANSWERED, 1, 0))
                .isInstanceOf(IllegalStateException.class);
    }

    private List<Ticket> fillSlots() {
        List<Ticket> running = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            running.add(ticket("m", Priority.NORMAL, 10_000));
            assertThat(mQueue.offer(running.get(i), 0))
                    .isInstanceOf(AdmissionDecision.Admitted.class);
        }
        return running;
    }

    private Ticket ticket(String member, Priority priority, long deadlineMillis) {
        return new Ticket(mNextId++, new Member(member, 1), priority, deadlineMillis);
    }

    private static AdmissionConfig config(int slots, int maxQueued) {
        return new AdmissionConfig(slots, maxQueued, 100, SERVICE_MICROS);
    }
}
