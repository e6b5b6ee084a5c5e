package org.apricotgauge.decision.allotment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** What one node does when others answer late or not at all. */
class AllotmentDeskTest {
    private static final RateLimit LIMIT = new RateLimit(10, 5);
    private static final String MEMBER = "stable";
    private static final int NODES = 5;

    private final List<Address> mNodes = new ArrayList<>();
    private final List<Sent> mSent = new ArrayList<>();
    private final List<Verdict> mVerdicts = new ArrayList<>();
    private long mNowMillis = 1_000;

    private record Sent(Address to, Message message) {}

    AllotmentDeskTest() {
        for (int node = 1; node <= NODES; node++) {
            mNodes.add(new Address("10.0.0." + node, 7_000));
        }
    }

    @Test
    void aHomeInContactGrantsAtOnceAndAsksNobody() {
        AllotmentDesk home = desk(rank(0));
        home.received(rank(2), new Message.Reply(-1, new Answer(0, 0)), mNowMillis);
        take(home);

        assertThat(mVerdicts).containsExactly(Verdict.GRANTED);
        assertThat(mSent).isEmpty();
    }

    // Guards against a home cut off that lends to its callers beside its stand-in.
    @Test
    void aHomeThatHearsNobodyLendsOnlyOnceAnotherNodeAnswers() {
        AllotmentDesk home = desk(rank(0));
        take(home);
        assertThat(mVerdicts).isEmpty();
        answer(home, 0, 0);
        assertThat(mVerdicts).containsExactly(Verdict.GRANTED);

        mNowMillis += AllotmentDesk.HEARD_MILLIS;
        take(home);
        waitInVain(home);
        assertThat(mVerdicts).containsExactly(Verdict.GRANTED, Verdict.UNKNOWN);
    }

    @Test
    void aFleetOfOneNodeIsNeverCutOff() {
        mNodes.subList(1, NODES).clear();
        take(desk(mNodes.get(0)));

        assertThat(mVerdicts).containsExactly(Verdict.GRANTED);
    }

    @Test
    void requestsThatComeWhileAQuestionIsUnderWayShareTheNext() {
        AllotmentDesk desk = desk(rank(3));
        take(desk);
        take(desk);
        take(desk);
        assertThat(mSent).hasSize(1);

        answer(desk, 1, 0);
        assertThat(((Message.Ask) mSent.get(1).message()).count()).isEqualTo(2);
        answer(desk, 1, 700);

        assertThat(mVerdicts)
                .containsExactly(Verdict.GRANTED, Verdict.GRANTED, new Verdict.Refused(700));
    }

    // Guards against a question for each request of a member that floods the fleet.
    @Test
    void aRefusalStandsForTheRequestsThatFollow() {
        AllotmentDesk desk = desk(rank(3));
        take(desk);
        answer(desk, 0, 700);
        mNowMillis += AllotmentDesk.REFUSAL_MILLIS - 1;
        take(desk);

        assertThat(mSent).hasSize(1);
        assertThat(mVerdicts.get(1))
                .isEqualTo(new Verdict.Refused(701 - AllotmentDesk.REFUSAL_MILLIS));
    }

    // Guards against a lost datagram that makes a second node lend beside the home.
    @Test
    void asksTheHomeTwiceAndThenTheStandIn() {
        AllotmentDesk desk = desk(rank(3));
        take(desk);
        waitInVain(desk);
        waitInVain(desk);

        assertThat(mSent.stream().filter(AllotmentDeskTest::asksForTokens).map(Sent::to))
                .containsExactly(rank(0), rank(0), rank(1));
        assertThat(mVerdicts).isEmpty();

        answer(desk, 1, 0);
        assertThat(mVerdicts).containsExactly(Verdict.GRANTED);
    }

    // Guards against the same while the home is back: its answer to a probe ends its silence.
    @Test
    void aHomeThatAnswersAgainIsAskedAgain() {
        AllotmentDesk desk = desk(rank(3));
        take(desk);
        waitInVain(desk);
        waitInVain(desk);
        answer(desk, 1, 0);
        desk.received(rank(0), new Message.Reply(-1, new Answer(0, 0)), mNowMillis);
        take(desk);

        assertThat(mSent.get(mSent.size() - 1).to()).isEqualTo(rank(0));
    }

    // Guards against callers of a node out of touch that wait until their deadline.
    @Test
    void withNobodyInReachTheVerdictIsUnknown() {
        AllotmentDesk desk = desk(rank(3));
        take(desk);
        waitInVain(desk);
        waitInVain(desk);
        waitInVain(desk);
        assertThat(mVerdicts).containsExactly(Verdict.UNKNOWN);

        take(desk);
        assertThat(mVerdicts).hasSize(2);
        assertThat(desk.isWaiting()).isFalse();
    }

    // Guards against two lenders while only the path between asker and home is cut.
    @Test
    void aStandInAsksTheHomeOnTheAskersBehalf() {
        AllotmentDesk standIn = desk(rank(1));
        standIn.received(rank(3), new Message.Ask(77, MEMBER, 2, false), mNowMillis);

        assertThat(mSent.get(0).to()).isEqualTo(rank(0));
        assertThat(((Message.Ask) mSent.get(0).message()).isFinal()).isTrue();
        answer(standIn, 1, 300);

        assertThat(mSent.get(1))
                .isEqualTo(new Sent(rank(3), new Message.Reply(77, new Answer(1, 300))));
    }

    @Test
    void aStandInLendsOnceTheHomeIsSilentToItToo() {
        AllotmentDesk standIn = desk(rank(1));
        standIn.received(rank(3), new Message.Ask(77, MEMBER, 1, false), mNowMillis);
        mNowMillis += AllotmentDesk.RELAY_MILLIS;
        standIn.expire(mNowMillis);

        assertThat(mSent.get(1))
                .isEqualTo(new Sent(rank(3), new Message.Reply(77, new Answer(1, 0))));
    }

    private static boolean asksForTokens(Sent sent) {
        return sent.message() instanceof Message.Ask ask && ask.count() > 0;
    }

    private Address rank(int rank) {
        return mNodes.stream()
                .filter(node -> homes(node).rank(MEMBER) == rank)
                .findFirst()
                .orElseThrow();
    }

    private Homes homes(Address self) {
        return Homes.of(self, mNodes.stream().filter(node -> !node.equals(self)).toList());
    }

    private AllotmentDesk desk(Address self) {
        return new AllotmentDesk(
                homes(self),
                (to, message) -> mSent.add(new Sent(to, message)),
                member -> LIMIT,
                Reserve.Tolerance.NONE,
                0);
    }

    private void take(AllotmentDesk desk) {
        desk.take(MEMBER, LIMIT, mNowMillis, mVerdicts::add);
    }

    private void answer(AllotmentDesk desk, int granted, long retryAfterMillis) {
        Sent last = mSent.get(mSent.size() - 1);
        Answer answer = new Answer(granted, retryAfterMillis);
        desk.received(last.to(), new Message.Reply(last.message().id(), answer), mNowMillis);
    }

    private void waitInVain(AllotmentDesk desk) {
        mNowMillis += AllotmentDesk.ANSWER_MILLIS;
        desk.expire(mNowMillis);
    }
}
