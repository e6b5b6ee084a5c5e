package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.decision.routing.TargetLoad;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;

/** The way of one request over the targets of a service whose guards alone reach them. */
class TargetSelectorTest {
    private static final int TARGETS = 4;

    private final ManualTicker mTicker = new ManualTicker();
    private final List<Candidate> mCandidates = new ArrayList<>();

    @Test
    void waitsAtTheLeastLoadedTargetAfterTwoBusyRefusals() {
        // Four targets of three slots, all busy, one with nothing waiting. The request is turned
        // away twice without waiting; the answers tell the loads, and it queues at any of the four.
        TargetSelector choice = selector();

        Candidate first = choice.next(null).orElseThrow();
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.NO_WAIT);
        Candidate second = choice.next(refused(NotRunReason.BUSY)).orElseThrow();
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.NO_WAIT);
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
        TargetSelector choice = selector();
        choice.next(null);
        choice.next(refused(NotRunReason.BUSY));
        Candidate third = choice.next(refused(NotRunReason.BUSY)).orElseThrow();
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
        choice.next(refused(NotRunReason.BUSY));
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.WHILE_USEFUL);
        choice.next(refused(NotRunReason.BUSY));
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        return third;
    }

    @Test
    void leastDegradedTargetIsTriedOnceAsLastResort() {
        // All four guards think their targets sick and turn a booking away. It goes to the one that
        // is the least likely to be sick, once, and is refused for good after that.
        TargetSelector choice = selector();
        for (int i = 0; i < TARGETS; i++) {
            mCandidates.get(i).load().recordFailure(0.9 - 0.1 * i, mTicker.millis());
        }
        Optional<Candidate> next = choice.next(null);
        Set<Candidate> tried = new HashSet<>();
        for (int i = 0; i < TARGETS; i++) {
            assertThat(choice.isLastResort()).isFalse();
            tried.add(next.orElseThrow());
            next = choice.next(refused(NotRunReason.TARGET_SUSPECT));
        }

        assertThat(tried).hasSize(TARGETS);
        assertThat(choice.isLastResort()).isTrue();
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        assertThat(next.orElseThrow()).isSameAs(mCandidates.get(TARGETS - 1));
        assertThat(choice.next(refused(NotRunReason.QUEUE_FULL))).isEmpty();
    }

    /**
     * Guards against the early failure of a request that was broken off and that nobody else takes.
     */
    @Test
    void idempotentRequestReturnsToItsFirstTargetAsLastResort() {
        TargetSelector choice = selector(true);
        Candidate ran = choice.next(null).orElseThrow();
        choice.next(new Outcome.Unknown(UnknownReason.STARTED));
        for (int i = 2; i < TARGETS; i++) {
            choice.next(refused(NotRunReason.QUEUE_FULL));
        }

        assertThat(choice.next(refused(NotRunReason.QUEUE_FULL))).containsSame(ran);
        assertThat(choice.queueingPolicy()).isEqualTo(QueueingPolicy.MAY_WAIT);
        assertThat(choice.next(refused(NotRunReason.QUEUE_FULL))).isEmpty();
    }

    @Test
    void targetThatBeganLeavingAfterTheRequestArrivedIsSkipped() {
        // A request is turned away by its first target. While it was there, all others but one said
        // that they leave; chosen by what was known when it came, it would lose a hop to each.
        TargetSelector choice = selector();
        Candidate first = choice.next(null).orElseThrow();

        Candidate stays = mCandidates.get(first == mCandidates.get(0) ? 1 : 0);
        mCandidates.replaceAll(one -> one == first || one == stays ? one : leaving(one));

        assertThat(choice.next(refused(NotRunReason.TARGET_SUSPECT))).containsSame(stays);
        choice.next(refused(NotRunReason.TARGET_SUSPECT));
        assertThat(choice.isLastResort()).isTrue();
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

    private TargetSelector selector(boolean repeatable) {
        if (mCandidates.isEmpty()) {
            for (int i = 0; i < TARGETS; i++) {
                mCandidates.add(candidate("t" + i, "10.0.0." + i));
            }
        }
        Service service = new Service("s", 0, new DetectionOdds(1, 1), 100, 100, null);
        EntryContext context =
                new EntryContext(
                        new GuardClient(new HttpClient(), new HttpClient(), mTicker),
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
                        null);
        return new TargetSelector(
                context, () -> ServiceTable.of(service, mCandidates, "entry", "here"), repeatable);
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
