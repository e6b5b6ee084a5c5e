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
    void whatCannotMakeItsDeadlineIsRefusedAtOnceAndToldWhenToComeBack() {
        fillSlots();
        Offer offer = mQueue.offer(ticket("m", Priority.NORMAL, 12), 0);
        assertThat(offer)
                .isInstanceOfSatisfying(
                        Offer.Refused.class,
                        refused -> {
                            assertThat(refused.refusal().reason())
                                    .isEqualTo(RefusalReason.DEADLINE_TOO_SHORT);
                            assertThat(refused.refusal().retryAfterMillis()).isPositive();
                        });
    }

    /** Guards against requests that wait for a limited target though another could serve them. */
    @Test
    void aLimitedTargetRefusesAtOnceWhatMayNotWaitAndTellsWhenItMayStart() {
        mQueue.limitStarts(1, 0);

        Ticket hasty =
                new Ticket(
                        mNextId++,
                        new Member("m", 1),
                        Priority.NORMAL,
                        "w",
                        false,
                        Patience.NO_WAIT,
                        10_000,
                        10_000);
        assertThat(mQueue.offer(hasty, 0))
                .isInstanceOfSatisfying(
                        Offer.Refused.class,
                        refused -> {
                            assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.BUSY);
                            assertThat(refused.refusal().retryAfterMillis()).isEqualTo(1_000);
                        });
        assertThat(mQueue.offer(ticket("m", Priority.NORMAL, 900), 0))
                .isInstanceOf(Offer.Refused.class);
    }

    @Test
    void whatWaitsForALimitedTargetStartsInItsTurn() {
        mQueue.limitStarts(1, 0);
        Ticket first = ticket("m", Priority.NORMAL, 10_000);
        Ticket second = ticket("m", Priority.NORMAL, 10_000);
        assertThat(mQueue.offer(first, 0)).isInstanceOf(Offer.Queued.class);
        assertThat(mQueue.offer(second, 0)).isInstanceOf(Offer.Queued.class);

        assertThat(mQueue.expire(999).admitted()).isEmpty();
        assertThat(mQueue.expire(1_000).admitted()).containsExactly(first);
        assertThat(mQueue.release(first, Result.UNSENT, 0, 1_001).admitted())
                .containsExactly(second);
        assertThat(mQueue.release(second, Result.ANSWERED, SERVICE_MICROS, 1_100).admitted())
                .isEmpty();
        assertThat(mQueue.isPaced(1_100)).isTrue();
    }

    @Test
    void aLiftedLimitLetsStartWhatWaits() {
        mQueue.limitStarts(1, 0);
        Ticket waiting = ticket("m", Priority.NORMAL, 10_000);
        mQueue.offer(waiting, 0);

        assertThat(mQueue.liftLimit(10).admitted()).containsExactly(waiting);
    }

    @Test
    void whatWaitedTooLongIsGivenBackNotServed() {
        List<Ticket> running = fillSlots();
        Ticket waiting = ticket("m", Priority.NORMAL, 100);
        assertThat(mQueue.offer(waiting, 0)).isInstanceOf(Offer.Queued.class);
        assertThat(mQueue.expire(50)).isEqualTo(Changes.NONE);
        Changes changes = mQueue.release(running.get(0), Result.ANSWERED, SERVICE_MICROS, 99);
        assertThat(changes.admitted()).isEmpty();
        assertThat(changes.refused()).extracting(Refusal::ticket).containsExactly(waiting);
        assertThat(mQueue.inFlight()).isEqualTo(1);
    }

    @Test
    void aFullQueueTakesThePlaceOfWhoeverHasMostWaiting() {
        fillSlots();
        for (int i = 0; i < 6; i++) {
            mQueue.offer(ticket("greedy", Priority.NORMAL, 10_000), 0);
        }
        assertThat(mQueue.offer(ticket("greedy", Priority.NORMAL, 10_000), 0))
                .isInstanceOf(Offer.Refused.class);
        assertThat(mQueue.offer(ticket("modest", Priority.PATIENT, 10_000), 0))
                .isInstanceOfSatisfying(
                        Offer.Queued.class,
                        queued ->
                                assertThat(queued.displaced())
                                        .extracting(refusal -> refusal.ticket().member().id())
                                        .containsExactly("greedy"));
        assertThat(mQueue.queued()).isEqualTo(6);
    }

    @Test
    void slotsAreSharedByWeightAndNoClassStarves() {
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
            Changes changes = queue.release(running, Result.ANSWERED, SERVICE_MICROS, i * 10L);
            running = changes.admitted().get(0);
            served.merge(running.member().id(), 1, Integer::sum);
            served.merge(running.priority().name(), 1, Integer::sum);
        }
        assertThat(served.get("heavy")).isBetween(56, 64);
        assertThat(served.get("PATIENT")).isBetween(5, 9);
    }

    @Test
    void theLimitFollowsWhatTheTargetShedsAndGrowsBack() {
        AdmissionQueue queue = new AdmissionQueue(config(3, 300));
        List<Ticket> running = new ArrayList<>();
        long nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            Ticket ticket = ticket("m", Priority.NORMAL, 1_000_000);
            if (queue.offer(ticket, nowMillis) instanceof Offer.Admitted) {
                running.add(ticket);
            }
        }
        // The older system takes one of the three slots for the first second.
        int sheds = 0;
        while (nowMillis < 2_000) {
            nowMillis += 10;
            boolean shed = nowMillis < 1_000 && running.size() > 2;
            sheds += shed ? 1 : 0;
            Result result = shed ? Result.SHED : Result.ANSWERED;
            // The one that came last finds no slot.
            Ticket done = running.remove(shed ? running.size() - 1 : 0);
            running.addAll(queue.release(done, result, SERVICE_MICROS, nowMillis).admitted());
            queue.offer(ticket("m", Priority.NORMAL, 1_000_000), nowMillis);
            assertThat(queue.limit()).isEqualTo(shed ? 2 : queue.inFlight());
        }
        // Tries double their distance: 50, 100, 200, 400 ms, so five or so in the second.
        assertThat(sheds).isBetween(3, 6);
        assertThat(queue.limit()).isEqualTo(3);
    }

    @Test
    void madeUpMembersDoNotTakeTheMemory() {
        AdmissionQueue queue = new AdmissionQueue(new AdmissionConfig(1, 300, 8, 10_000));
        for (int i = 0; i < 300; i++) {
            queue.offer(ticket("made-up-" + i, Priority.NORMAL, 1_000_000), 0);
        }
        assertThat(queue.members()).isLessThanOrEqualTo(8 + 16);
    }

    @Test
    void aShortLookupMayWaitWhereLongWorkOfItsClassCould() {
        // Reports of 600 ms and lookups of 60 ms share a class. A lookup with 600 ms left comes
        // while all slots are busy; judged by the time that reports need it would be refused, and
        // the booking that waits for it would fail.
        AdmissionQueue queue = new AdmissionQueue(config(2, 6));
        for (int i = 0; i < 20; i++) {
            serve(queue, "report", 600_000);
            serve(queue, "lookup", 60_000);
        }
        queue.offer(work("report", 10_000), 0);
        queue.offer(work("report", 10_000), 0);

        assertThat(queue.offer(work("lookup", 600), 0)).isInstanceOf(Offer.Queued.class);
        assertThat(queue.offer(work("report", 600), 0)).isInstanceOf(Offer.Refused.class);
    }

    @Test
    void theEarliestDeadlineOfAClassGoesFirst() {
        AdmissionQueue queue = new AdmissionQueue(config(1, 6));
        Ticket running = ticket("m", Priority.URGENT, 10_000);
        Ticket booking = ticket("m", Priority.URGENT, 1_500);
        Ticket lookup = ticket("m", Priority.URGENT, 600);
        queue.offer(running, 0);
        queue.offer(booking, 0);
        queue.offer(lookup, 0);

        Changes changes = queue.release(running, Result.ANSWERED, SERVICE_MICROS, 10);

        assertThat(changes.admitted()).containsExactly(lookup);
    }

    @Test
    void whatMustNotWaitIsTurnedAwayWhileNoSlotIsFree() {
        List<Ticket> running = fillSlots();
        Ticket looking = patient(Patience.NO_WAIT, 10_000);
        assertThat(mQueue.offer(looking, 0))
                .isInstanceOfSatisfying(
                        Offer.Refused.class,
                        refused ->
                                assertThat(refused.refusal().reason())
                                        .isEqualTo(RefusalReason.BUSY));

        mQueue.release(running.get(0), Result.ANSWERED, SERVICE_MICROS, 10);

        assertThat(mQueue.offer(looking, 10)).isInstanceOf(Offer.Admitted.class);
    }

    @Test
    void aTargetThatShedsItsOnlyUsersWorkKeepsAllItsSlots() {
        // A broken target sheds half of its requests with slots free. Were its limit to step down,
        // the other half would wait for one slot of three, and run out of time.
        AdmissionQueue queue =
                new AdmissionQueue(
                        new AdmissionConfig(
                                3, 6, 100, SERVICE_MICROS, AdmissionConfig.SlotUse.EXCLUSIVE));
        for (int i = 0; i < 20; i++) {
            Ticket shed = ticket("m", Priority.NORMAL, 10_000);
            queue.offer(shed, i);
            queue.release(shed, Result.SHED, 1_000, i);
        }

        assertThat(queue.limit()).isEqualTo(3);
    }

    private void serve(AdmissionQueue queue, String work, long serviceMicros) {
        Ticket ticket = work(work, 100_000);
        queue.offer(ticket, 0);
        queue.release(ticket, Result.ANSWERED, serviceMicros, 0);
    }

    private Ticket work(String work, long deadlineMillis) {
        return new Ticket(
                mNextId++,
                new Member("m", 1),
                Priority.NORMAL,
                work,
                false,
                Patience.MAY_WAIT,
                deadlineMillis,
                deadlineMillis);
    }

    private Ticket patient(Patience patience, long usefulUntilMillis) {
        return new Ticket(
                mNextId++,
                new Member("m", 1),
                Priority.NORMAL,
                "work",
                false,
                patience,
                usefulUntilMillis,
                100_000);
    }

    @Test
    void theCallOfARunningRequestGoesBeforeNewWorkOfItsClass() {
        // Orders wait at a busy target, one of them with little time left, when a lookup comes that
        // an order which runs elsewhere needs. It gets the next slot: that order holds a slot
        // meanwhile, and fails if its lookup does.
        List<Ticket> running = fillSlots();
        for (int i = 0; i < 4; i++) {
            mQueue.offer(ticket("m", Priority.URGENT, 10_000), 0);
        }
        assertThat(mQueue.offer(ticket("m", Priority.URGENT, 20), 0))
                .isInstanceOf(Offer.Queued.class);
        Ticket call =
                new Ticket(
                        mNextId++,
                        new Member("m", 1),
                        Priority.URGENT,
                        "lookup",
                        true,
                        Patience.MAY_WAIT,
                        25,
                        25);

        assertThat(mQueue.offer(call, 0)).isInstanceOf(Offer.Queued.class);
        Changes changes = mQueue.release(running.get(0), Result.ANSWERED, SERVICE_MICROS, 5);

        assertThat(changes.admitted()).containsExactly(call);
    }

    @Test
    void whatCanStillBeOfFullUseGoesBeforeWhatCannot() {
        // One slot, served in the order of arrival, would make both late. The first can no longer
        // be in time and waits to its deadline; the second, which came later, can, and goes first.
        AdmissionQueue queue = new AdmissionQueue(config(1, 6));
        Ticket running = ticket("m", Priority.NORMAL, 100_000);
        Ticket late = patient(Patience.MAY_WAIT, 15);
        Ticket useful = patient(Patience.WHILE_USEFUL, 500);
        queue.offer(running, 0);
        assertThat(queue.offer(late, 0)).isInstanceOf(Offer.Queued.class);
        assertThat(queue.offer(useful, 0)).isInstanceOf(Offer.Queued.class);

        Changes changes = queue.release(running, Result.ANSWERED, SERVICE_MICROS, 10);

        assertThat(changes.admitted()).containsExactly(useful);
        assertThat(queue.queued()).isEqualTo(1);
    }

    @Test
    void whatIsLateAlreadyDoesNotWaitBehindAQueueThatOvertakesIt() {
        // A busy target has a round of useful work waiting, and more comes all the time. A late
        // request would be overtaken until its deadline; it is told at once to look elsewhere.
        List<Ticket> running = fillSlots();
        assertThat(mQueue.offer(patient(Patience.MAY_WAIT, 0), 0)).isInstanceOf(Offer.Queued.class);
        assertThat(mQueue.offer(patient(Patience.MAY_WAIT, 500), 0))
                .isInstanceOf(Offer.Queued.class);

        assertThat(mQueue.offer(patient(Patience.MAY_WAIT, 0), 0))
                .isInstanceOfSatisfying(
                        Offer.Refused.class,
                        refused ->
                                assertThat(refused.refusal().reason())
                                        .isEqualTo(RefusalReason.BUSY));
        assertThat(mQueue.offer(patient(Patience.MAY_WAIT, 500), 0))
                .isInstanceOf(Offer.Queued.class);
        assertThat(running).hasSize(2);
    }

    @Test
    void whatWaitsForFullUseIsGivenBackOnceItCannotBe() {
        List<Ticket> running = fillSlots();
        Ticket waiting = patient(Patience.WHILE_USEFUL, 100);
        Ticket staying = patient(Patience.MAY_WAIT, 100);
        assertThat(mQueue.offer(waiting, 0)).isInstanceOf(Offer.Queued.class);
        assertThat(mQueue.offer(staying, 0)).isInstanceOf(Offer.Queued.class);

        Changes changes = mQueue.expire(95);

        assertThat(changes.refused()).extracting(Refusal::ticket).containsExactly(waiting);
        assertThat(changes.refused().get(0).reason()).isEqualTo(RefusalReason.BUSY);
        assertThat(mQueue.offer(patient(Patience.WHILE_USEFUL, 100), 95))
                .isInstanceOf(Offer.Refused.class);
        Changes freed = mQueue.release(running.get(0), Result.ANSWERED, SERVICE_MICROS, 96);
        assertThat(freed.admitted()).containsExactly(staying);
    }

    @Test
    void releasingWhatHasNoSlotBreaksAnInvariant() {
        Ticket ticket = ticket("m", Priority.NORMAL, 100);
        assertThatThrownBy(() -> mQueue.release(ticket, Result.ANSWERED, 1, 0))
                .isInstanceOf(IllegalStateException.class);
    }

    private List<Ticket> fillSlots() {
        List<Ticket> running = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            running.add(ticket("m", Priority.NORMAL, 10_000));
            assertThat(mQueue.offer(running.get(i), 0)).isInstanceOf(Offer.Admitted.class);
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
