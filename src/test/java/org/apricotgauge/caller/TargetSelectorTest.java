package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.LocalSlots;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.decision.routing.TargetLoad;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.stop.PeerStops;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Tests the target selection of one request where targets are reached through guards only. */
class TargetSelectorTest {
    private static final int TARGETS = 4;

    /** Time that the request needs at a stopping guard. */
    private static final long NEEDED_MILLIS = 2_000;

    private final ManualTicker mTicker = new ManualTicker();
    private final UpstreamClient mClient =
            new UpstreamClientFactory(Runnable::run, new ScheduledExecutorScheduler(), 1_000)
                    .create(new UpstreamClientFactory.Limits(1_000, 1, 1));
    private final PeerStops mStops = new PeerStops(mTicker);
    private final GuardClient mGuards = new GuardClient(mClient, mClient, mStops, mTicker);
    private final List<Candidate> mCandidates = new ArrayList<>();
    private final StopSchedule mStop = new StopSchedule(mTicker);
    private LocalFirst mLocalFirst = LocalFirst.OFF;
    private final String mEntryVm = "10.0.0.1";

    @Test
    void waitsAtTheLeastLoadedTargetAfterTwoBusyRefusals() {
        // Four targets of three slots, all busy, one with an empty queue. The request is refused
        // twice without waiting; the answers report the loads, and it may queue at any of the four.
        TargetSelector selector = selector();

        Candidate first = selector.next(null).orElseThrow();
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.NO_WAIT);
        Candidate second = selector.next(refused(NotRunReason.BUSY)).orElseThrow();
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.NO_WAIT);
        assertThat(second).isNotSameAs(first);
        mCandidates.forEach(one -> one.load().reportLoad(2_000, mTicker.nanos()));
        first.load().reportLoad(1_000, mTicker.nanos());
        Set<Candidate> third = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            third.add(thirdChoice());
        }

        assertThat(third).contains(first);
    }

    private Candidate thirdChoice() {
        TargetSelector selector = selector();
        selector.next(null);
        selector.next(refused(NotRunReason.BUSY));
        Candidate third = selector.next(refused(NotRunReason.BUSY)).orElseThrow();
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
        selector.next(refused(NotRunReason.BUSY));
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
        selector.next(refused(NotRunReason.BUSY));
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        return third;
    }

    @Test
    void leastDegradedTargetIsTriedOnceAsLastResort() {
        // All four guards suspect their targets and refuse a booking. It goes to the target with
        // the lowest degradation probability, once, and is then refused finally.
        TargetSelector selector = selector();
        for (int i = 0; i < TARGETS; i++) {
            mCandidates.get(i).load().recordFailure(0.9 - 0.1 * i, mTicker.millis());
        }
        Optional<Candidate> next = selector.next(null);
        Set<Candidate> tried = new HashSet<>();
        for (int i = 0; i < TARGETS; i++) {
            assertThat(selector.isLastResort()).isFalse();
            tried.add(next.orElseThrow());
            next = selector.next(refused(NotRunReason.TARGET_SUSPECT));
        }

        assertThat(tried).hasSize(TARGETS);
        assertThat(selector.isLastResort()).isTrue();
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        assertThat(next.orElseThrow()).isSameAs(mCandidates.get(TARGETS - 1));
        assertThat(selector.next(refused(NotRunReason.QUEUE_FULL))).isEmpty();
    }

    // Guards against the early failure of an idempotent request whose run was interrupted and that
    // all other targets refuse.
    @Test
    void idempotentRequestReturnsToItsFirstTargetAsLastResort() {
        TargetSelector selector = selector(true);
        Candidate ran = selector.next(null).orElseThrow();
        selector.next(new Outcome.Unknown(UnknownReason.STARTED));
        for (int i = 2; i < TARGETS; i++) {
            selector.next(refused(NotRunReason.QUEUE_FULL));
        }

        assertThat(selector.next(refused(NotRunReason.QUEUE_FULL))).containsSame(ran);
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        assertThat(selector.next(refused(NotRunReason.QUEUE_FULL))).isEmpty();
    }

    @Test
    void targetThatBeganLeavingAfterTheRequestArrivedIsSkipped() {
        // A request is refused by its first target. Meanwhile all others but one have begun to
        // leave; with the targets as of its arrival, it would lose a hop to each of them.
        TargetSelector selector = selector();
        Candidate first = selector.next(null).orElseThrow();

        Candidate remaining = mCandidates.get(first == mCandidates.get(0) ? 1 : 0);
        mCandidates.replaceAll(one -> one == first || one == remaining ? one : leaving(one));

        assertThat(selector.next(refused(NotRunReason.TARGET_SUSPECT))).containsSame(remaining);
        selector.next(refused(NotRunReason.TARGET_SUSPECT));
        assertThat(selector.isLastResort()).isTrue();
    }

    // Guards against new work at a guard that ends before the work does.
    @Test
    void guardThatEndsTooSoonIsChosenOnlyIfNoOtherIsLeft() {
        TargetSelector selector = selector();
        Candidate stopping = mCandidates.get(2);
        announceStop(stopping, String.valueOf(NEEDED_MILLIS - 1));

        Set<Candidate> tried = new HashSet<>();
        tried.add(selector.next(null).orElseThrow());
        for (int i = 2; i < TARGETS; i++) {
            tried.add(selector.next(refused(NotRunReason.QUEUE_FULL)).orElseThrow());
        }

        assertThat(tried).hasSize(TARGETS - 1).doesNotContain(stopping);
        assertThat(selector.next(refused(NotRunReason.QUEUE_FULL))).containsSame(stopping);
        assertThat(selector.next(refused(NotRunReason.LEAVING))).isEmpty();
    }

    // Guards against a request that is sent to an ending guard while it could wait elsewhere.
    @Test
    void waitsAtABusyTargetRatherThanAtAGuardThatEnds() {
        TargetSelector selector = selector();
        mCandidates.subList(1, TARGETS).forEach(one -> announceStop(one, "10"));

        Candidate running = selector.next(null).orElseThrow();

        assertThat(selector.next(refused(NotRunReason.BUSY))).containsSame(running);
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
        assertThat(selector.next(refused(NotRunReason.QUEUE_FULL)).orElseThrow())
                .isNotSameAs(running);
    }

    // Guards against idle slots at a stopping guard that has enough time left.
    @Test
    void guardThatStopsLaterThanTheRequestEndsIsChosen() {
        TargetSelector selector = selector();
        mCandidates.forEach(one -> announceStop(one, String.valueOf(NEEDED_MILLIS)));

        assertThat(selector.next(null)).isPresent();
        assertThat(selector.next(refused(NotRunReason.BUSY))).isPresent();
    }

    // Guards against a later release whose announcement of a stop is unreadable here.
    @Test
    void whatFollowsTheTimeOfAStopIsIgnored() {
        TargetSelector selector = selector();
        mCandidates.subList(1, TARGETS).forEach(one -> announceStop(one, "10;phase=draining"));

        assertThat(selector.next(null)).containsSame(mCandidates.get(0));
        assertThat(mStops.malformedCount()).isZero();
    }

    // Guards against a guard that is avoided after its restart, or for a stop that nobody can read.
    @Test
    void stopOfAnotherIncarnationAndMalformedStopAreIgnored() {
        TargetSelector selector = selector();
        mCandidates.forEach(one -> announceStop(one, "soon"));
        mCandidates.forEach(one -> announceStop(one, "-1"));
        mCandidates.forEach(one -> announceStop(one, "10"));
        Candidate restarted = mCandidates.get(1);
        HttpFields answer =
                HttpFields.build().put(GuardStamp.HEADER, new GuardStamp(9, 1).toString());
        mGuards.recordStamp(restarted.guard(), answer);

        assertThat(selector.next(null)).containsSame(restarted);
        assertThat(mStops.malformedCount()).isEqualTo(2 * TARGETS);
    }

    // Guards against a look at a guard whose slots are known to be in use.
    @Test
    void fullTargetBesideTheEntryIsSkippedUntilTheRequestMayWait() {
        mLocalFirst = localFirst("t1", 0);
        TargetSelector selector = selector();
        Set<Candidate> looks = new HashSet<>();

        looks.add(selector.next(null).orElseThrow());
        looks.add(selector.next(refused(NotRunReason.BUSY)).orElseThrow());
        assertThat(looks).doesNotContain(mCandidates.get(1));
        looks.add(selector.next(refused(NotRunReason.BUSY)).orElseThrow());
        looks.add(selector.next(refused(NotRunReason.QUEUE_FULL)).orElseThrow());
        looks.add(selector.next(refused(NotRunReason.QUEUE_FULL)).orElseThrow());
        looks.add(selector.next(refused(NotRunReason.QUEUE_FULL)).orElseThrow());
        assertThat(looks).contains(mCandidates.get(1));
    }

    // Guards against a refusal for want of a target where the only one is busy.
    @Test
    void requestWaitsAtTheOnlyTarget() {
        mCandidates.add(candidate("t0", mEntryVm));
        mLocalFirst = localFirst("t0", 0);
        TargetSelector selector = selector();

        assertThat(selector.next(null)).containsSame(mCandidates.get(0));
        assertThat(selector.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
    }

    // Guards against new work beside an entry whose node ends before the work does.
    @Test
    void requestStaysWhileASlotIsFreeAndTheNodeDoesNotEndTooSoon() {
        mLocalFirst = localFirst("t1", 1);
        int stayed = 0;
        for (int i = 0; i < 100; i++) {
            stayed += selector().next(null).orElseThrow() == mCandidates.get(1) ? 1 : 0;
        }
        assertThat(stayed).isGreaterThan(75);

        mStop.begin(NEEDED_MILLIS - 1);
        for (int i = 0; i < 100; i++) {
            stayed -= selector().next(null).orElseThrow() == mCandidates.get(1) ? 1 : 0;
        }
        assertThat(stayed).isGreaterThan(25);
    }

    private static LocalFirst localFirst(String targetId, int free) {
        return new LocalFirst(
                true,
                id ->
                        id.equals(targetId)
                                ? Optional.of(new LocalSlots.Use(free, 0))
                                : Optional.empty(),
                new MetricRegistry());
    }

    private void announceStop(Candidate candidate, String millis) {
        HttpFields.Mutable answer =
                HttpFields.build()
                        .put(GuardStamp.HEADER, new GuardStamp(7, mTicker.millis()).toString())
                        .put(HeaderNames.STOP_MILLIS, millis);
        mGuards.recordStamp(candidate.guard(), answer);
    }

    private static Candidate leaving(Candidate one) {
        return new Candidate(one.target(), one.guard(), true, 1, Candidate.NO_RAMP, one.load());
    }

    private static Outcome refused(NotRunReason reason) {
        return new Outcome.NotRun(reason, 0);
    }

    private TargetSelector selector() {
        return selector(false);
    }

    private TargetSelector selector(boolean idempotent) {
        if (mCandidates.isEmpty()) {
            for (int i = 0; i < TARGETS; i++) {
                mCandidates.add(candidate("t" + i, "10.0.0." + i));
            }
        }
        Service service = new Service("s", 0, new DetectionOdds(1, 1), 100, 100, null);
        EntryContext context =
                new EntryContext(
                        mGuards,
                        null,
                        null,
                        RetryPolicy.DEFAULT,
                        null,
                        mTicker,
                        null,
                        id -> Optional.empty(),
                        null,
                        FleetDialect.INSTANCE,
                        EntryOptions.TargetAccess.GUARDS_ONLY,
                        null,
                        null,
                        null,
                        mStop,
                        new HeldAnswers(),
                        new LargeBodies(false, new MetricRegistry()),
                        new ExchangesInFlight(),
                        new RouteRunTimes(),
                        mLocalFirst,
                        new ShedRetries(false, null, mTicker, new MetricRegistry()),
                        null);
        return new TargetSelector(
                context,
                () -> ServiceTable.of(service, mCandidates, mEntryVm, "here"),
                idempotent,
                stopMillis -> stopMillis >= NEEDED_MILLIS);
    }

    private static Candidate candidate(String id, String host) {
        return new Candidate(
                new Target(id, "s", host, "here", host, 80, 3),
                new Address(host, 81),
                false,
                1,
                Candidate.NO_RAMP,
                new TargetLoad());
    }
}
