package org.apricotgauge.decision.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * One node's part in keeping members to their limits: asks for tokens, and answers who asks.
 *
 * <pre>{@code
 * desk.take(member, limit, nowMillis, verdict -> ...);   // at once, or once a lender has answered
 * desk.received(from, message, nowMillis);
 * desk.expire(nowMillis);                                // every few milliseconds while one waits
 * }</pre>
 *
 * <p>The home is asked first, then its stand-in, which asks the home on the asker's behalf: the
 * path between asker and home may be the only thing that is broken. It lends itself if the home is
 * silent to it too. One question for a member is under way at a time; requests that come meanwhile
 * share the next. Time and messages are passed in and out; synchronised by its owner.
 */
public final class AllotmentDesk {
    /** How long the answer of a lender is awaited, in milliseconds. */
    static final long ANSWER_MILLIS = 150;

    /** A stand-in awaits the home for less, so that its own answer comes in time. */
    static final long RELAY_MILLIS = 100;

    /** How long a lender that did not answer is passed over, in milliseconds. */
    static final long SILENT_MILLIS = 1_000;

    /** A node that has heard nobody for so long may be cut off, in milliseconds. */
    static final long HEARD_MILLIS = 1_000;

    /** Nodes that a node asks for a sign of life before it lends to itself. */
    private static final int CONTACTS = 3;

    /** How long a refusal stands for the requests that follow, in milliseconds. */
    static final long REFUSAL_MILLIS = 50;

    /** Questions passed on at once; what comes beyond is answered here. */
    private static final int MAX_RELAYS = 10_000;

    private final Sender mSender;
    private final Function<String, RateLimit> mLimits;
    private final Lender mLender;
    private final Reserve mReserve;
    private final Map<String, Borrower> mBorrowers = new HashMap<>();
    private final Map<Long, String> mAsked = new HashMap<>();
    private final Map<Long, Relay> mRelays = new HashMap<>();
    private final Map<Address, Long> mSilentUntilMillis = new HashMap<>();
    private Homes mHomes;
    private long mNextId;
    private long mHeardMillis;

    /** Sends a message; it may be lost. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message. */
        void send(Address to, Message message);
    }

    /** Where a question stands; one lost datagram must not make a second lender. */
    private enum Stage {
        HOME,
        HOME_AGAIN,
        STAND_IN,
        /** This node is to lend, once it knows that it is not cut off. */
        CONTACT
    }

    /**
     * A question of this node that is under way.
     *
     * @param id its number
     * @param stage where it stands
     * @param asked the one that is to lend; null if this node is
     * @param waiting the requests that it is for
     * @param untilMillis how long the answer is awaited
     */
    private record Question(
            long id,
            Stage stage,
            Address asked,
            List<Consumer<Verdict>> waiting,
            long untilMillis) {}

    /** A question that was passed on to the home. */
    private record Relay(Address asker, Message.Ask ask, Address home, long untilMillis) {}

    /** Requests of one member at this node. */
    private static final class Borrower {
        private final Deque<Consumer<Verdict>> mNext = new ArrayDeque<>();
        private RateLimit mLimit;
        private Question mQuestion;
        private long mRefusedUntilMillis = Long.MIN_VALUE;
        private long mRetryAtMillis;

        boolean isIdle(long nowMillis) {
            return mQuestion == null && mNext.isEmpty() && nowMillis >= mRefusedUntilMillis;
        }
    }

    /** A verdict that is due, to be told once the desk's state is settled. */
    private record Told(Consumer<Verdict> request, Verdict verdict) {
        void tell() {
            request.accept(verdict);
        }
    }

    /**
     * Creates the desk of one node.
     *
     * @param homes the nodes as known now
     * @param sender sends messages to other nodes
     * @param limits limit of a member; null if it has none
     * @param tolerance what the operator tolerates beyond limits
     */
    public AllotmentDesk(
            Homes homes,
            Sender sender,
            Function<String, RateLimit> limits,
            Reserve.Tolerance tolerance,
            long nowMillis) {
        mHomes = Checks.notNull("homes", homes);
        mSender = Checks.notNull("sender", sender);
        mLimits = Checks.notNull("limits", limits);
        mLender = new Lender(tolerance, nowMillis);
        mReserve = new Reserve(tolerance);
        mHeardMillis = nowMillis - HEARD_MILLIS;
    }

    /** Takes in that nodes came or went. */
    public void fleetChanged(Homes homes, long nowMillis) {
        mHomes = homes;
        mLender.fleetChanged(homes::isHome, nowMillis);
        mSilentUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        mBorrowers.values().removeIf(borrower -> borrower.isIdle(nowMillis));
    }

    /** Returns whether a question is under way, so that {@link #expire} has something to do. */
    public boolean isWaiting() {
        return !mAsked.isEmpty() || !mRelays.isEmpty();
    }

    /**
     * Asks for one token.
     *
     * @param limit the member's limit
     * @param request hears the verdict once, perhaps before this returns
     */
    public void take(String member, RateLimit limit, long nowMillis, Consumer<Verdict> request) {
        if (mHomes.isHome(member) && isInContact(nowMillis)) {
            Answer answer = mLender.lend(member, limit, 1, Lender.Role.HOME, nowMillis);
            request.accept(
                    answer.granted() > 0
                            ? Verdict.GRANTED
                            : new Verdict.Refused(answer.retryAfterMillis()));
            return;
        }
        Borrower borrower = mBorrowers.computeIfAbsent(member, id -> new Borrower());
        if (nowMillis < borrower.mRefusedUntilMillis) {
            request.accept(new Verdict.Refused(Math.max(1, borrower.mRetryAtMillis - nowMillis)));
            return;
        }
        borrower.mLimit = limit;
        borrower.mNext.add(request);
        if (borrower.mQuestion == null) {
            ask(member, borrower, nowMillis).forEach(Told::tell);
        }
    }

    private List<Told> ask(String member, Borrower borrower, long nowMillis) {
        if (borrower.mNext.isEmpty()) {
            return List.of();
        }
        List<Consumer<Verdict>> waiting = new ArrayList<>();
        while (!borrower.mNext.isEmpty() && waiting.size() < Message.Ask.MAX_COUNT) {
            waiting.add(borrower.mNext.poll());
        }
        Address home = mHomes.home(member);
        if (mHomes.isHome(member)) {
            seekContact(member, borrower, waiting, nowMillis);
            return List.of();
        }
        if (isSilent(home, nowMillis)) {
            return askStandIn(member, borrower, waiting, nowMillis);
        }
        send(member, borrower, waiting, Stage.HOME, home, nowMillis);
        return List.of();
    }

    private List<Told> askStandIn(
            String member, Borrower borrower, List<Consumer<Verdict>> waiting, long nowMillis) {
        probe(mHomes.home(member), member);
        Optional<Address> standIn = mHomes.standIn(member);
        if (standIn.isPresent() && mHomes.rank(member) == 1) {
            if (!isInContact(nowMillis)) {
                seekContact(member, borrower, waiting, nowMillis);
                return List.of();
            }
            borrower.mQuestion = null;
            return lendSelf(member, borrower, waiting, nowMillis);
        }
        if (standIn.isEmpty() || isSilent(standIn.get(), nowMillis)) {
            borrower.mQuestion = null;
            return settleAlone(member, borrower, waiting, nowMillis);
        }
        send(member, borrower, waiting, Stage.STAND_IN, standIn.get(), nowMillis);
        return List.of();
    }

    // Cut off from all others, a home would lend to its own callers what its stand-in lends to the
    // rest of the fleet.
    private boolean isInContact(long nowMillis) {
        return nowMillis - mHeardMillis < HEARD_MILLIS || mHomes.others(0, 1).isEmpty();
    }

    private void seekContact(
            String member, Borrower borrower, List<Consumer<Verdict>> waiting, long nowMillis) {
        long id = mNextId++;
        long untilMillis = nowMillis + ANSWER_MILLIS;
        borrower.mQuestion = new Question(id, Stage.CONTACT, null, waiting, untilMillis);
        mAsked.put(id, member);
        for (Address other : mHomes.others(id, CONTACTS)) {
            mSender.send(other, new Message.Ask(id, member, 0, true));
        }
    }

    private List<Told> lendSelf(
            String member, Borrower borrower, List<Consumer<Verdict>> waiting, long nowMillis) {
        Lender.Role role = mHomes.isHome(member) ? Lender.Role.HOME : Lender.Role.STAND_IN;
        Answer answer = mLender.lend(member, borrower.mLimit, waiting.size(), role, nowMillis);
        return settle(borrower, waiting, answer, nowMillis);
    }

    private void send(
            String member,
            Borrower borrower,
            List<Consumer<Verdict>> waiting,
            Stage stage,
            Address to,
            long nowMillis) {
        long id = mNextId++;
        borrower.mQuestion = new Question(id, stage, to, waiting, nowMillis + ANSWER_MILLIS);
        mAsked.put(id, member);
        mSender.send(to, new Message.Ask(id, member, waiting.size(), false));
    }

    // Lost datagrams make a home look silent that lends to others; its answer ends that at once.
    private void probe(Address home, String member) {
        mSender.send(home, new Message.Ask(mNextId++, member, 0, true));
    }

    private boolean isSilent(Address node, long nowMillis) {
        Long untilMillis = mSilentUntilMillis.get(node);
        return untilMillis != null && nowMillis < untilMillis;
    }

    /** Takes a message of another node. */
    public void received(Address from, Message message, long nowMillis) {
        mSilentUntilMillis.remove(from);
        mHeardMillis = nowMillis;
        if (message instanceof Message.Ask ask) {
            answer(from, ask, nowMillis);
        } else if (message instanceof Message.Reply reply) {
            take(reply, nowMillis);
        }
    }

    private void answer(Address asker, Message.Ask ask, long nowMillis) {
        Address home = mHomes.home(ask.member());
        if (ask.isFinal() || mHomes.isHome(ask.member()) || home.equals(asker)) {
            lend(asker, ask, nowMillis);
            return;
        }
        if (isSilent(home, nowMillis) || mRelays.size() >= MAX_RELAYS) {
            probe(home, ask.member());
            lend(asker, ask, nowMillis);
            return;
        }
        long id = mNextId++;
        mRelays.put(id, new Relay(asker, ask, home, nowMillis + RELAY_MILLIS));
        mSender.send(home, new Message.Ask(id, ask.member(), ask.count(), true));
    }

    private void lend(Address asker, Message.Ask ask, long nowMillis) {
        RateLimit limit = mLimits.apply(ask.member());
        // This node's version may not have the member or its limit yet, or not any more.
        Answer answer =
                limit == null
                        ? new Answer(ask.count(), 0)
                        : mLender.lend(ask.member(), limit, ask.count(), roleFor(ask), nowMillis);
        mSender.send(asker, new Message.Reply(ask.id(), answer));
    }

    private Lender.Role roleFor(Message.Ask ask) {
        boolean isHome = ask.isFinal() || mHomes.isHome(ask.member());
        return isHome ? Lender.Role.HOME : Lender.Role.STAND_IN;
    }

    private void take(Message.Reply reply, long nowMillis) {
        Relay relay = mRelays.remove(reply.id());
        if (relay != null) {
            mSender.send(relay.asker(), new Message.Reply(relay.ask().id(), reply.answer()));
            return;
        }
        String member = mAsked.remove(reply.id());
        if (member == null) {
            return;
        }
        Borrower borrower = mBorrowers.get(member);
        Question question = borrower.mQuestion;
        borrower.mQuestion = null;
        List<Told> told =
                new ArrayList<>(
                        question.stage() == Stage.CONTACT
                                ? lendSelf(member, borrower, question.waiting(), nowMillis)
                                : settle(borrower, question.waiting(), reply.answer(), nowMillis));
        told.addAll(next(member, borrower, nowMillis));
        told.forEach(Told::tell);
    }

    private List<Told> next(String member, Borrower borrower, long nowMillis) {
        if (nowMillis < borrower.mRefusedUntilMillis) {
            List<Consumer<Verdict>> waiting = new ArrayList<>(borrower.mNext);
            borrower.mNext.clear();
            Verdict refused = new Verdict.Refused(Math.max(1, borrower.mRetryAtMillis - nowMillis));
            return waiting.stream().map(request -> new Told(request, refused)).toList();
        }
        List<Told> told = ask(member, borrower, nowMillis);
        if (borrower.isIdle(nowMillis)) {
            mBorrowers.remove(member);
        }
        return told;
    }

    private static List<Told> settle(
            Borrower borrower, List<Consumer<Verdict>> waiting, Answer answer, long nowMillis) {
        List<Told> told = new ArrayList<>(waiting.size());
        for (int i = 0; i < waiting.size(); i++) {
            boolean isGranted = i < answer.granted();
            told.add(
                    new Told(
                            waiting.get(i),
                            isGranted
                                    ? Verdict.GRANTED
                                    : new Verdict.Refused(Math.max(1, answer.retryAfterMillis()))));
        }
        if (answer.granted() < waiting.size()) {
            borrower.mRetryAtMillis = nowMillis + answer.retryAfterMillis();
            borrower.mRefusedUntilMillis =
                    nowMillis + Math.min(REFUSAL_MILLIS, answer.retryAfterMillis());
        }
        return told;
    }

    private List<Told> settleAlone(
            String member, Borrower borrower, List<Consumer<Verdict>> waiting, long nowMillis) {
        List<Told> told = new ArrayList<>(waiting.size());
        int rank = mHomes.rank(member);
        for (Consumer<Verdict> request : waiting) {
            boolean isGranted = mReserve.take(member, borrower.mLimit, rank, nowMillis);
            told.add(new Told(request, isGranted ? Verdict.GRANTED : Verdict.UNKNOWN));
        }
        return told;
    }

    /** Goes on without those that did not answer in time. */
    public void expire(long nowMillis) {
        expireRelays(nowMillis);
        List<String> late = new ArrayList<>();
        for (String member : mAsked.values()) {
            if (nowMillis >= mBorrowers.get(member).mQuestion.untilMillis()) {
                late.add(member);
            }
        }
        List<Told> told = new ArrayList<>();
        for (String member : late) {
            told.addAll(goOn(member, mBorrowers.get(member), nowMillis));
        }
        told.forEach(Told::tell);
    }

    private List<Told> goOn(String member, Borrower borrower, long nowMillis) {
        Question late = borrower.mQuestion;
        mAsked.remove(late.id());
        if (late.stage() == Stage.HOME) {
            send(member, borrower, late.waiting(), Stage.HOME_AGAIN, late.asked(), nowMillis);
            return List.of();
        }
        if (late.asked() != null) {
            mSilentUntilMillis.put(late.asked(), nowMillis + SILENT_MILLIS);
        }
        if (late.stage() == Stage.HOME_AGAIN) {
            List<Told> told = askStandIn(member, borrower, late.waiting(), nowMillis);
            return borrower.mQuestion == null ? withNext(told, member, borrower, nowMillis) : told;
        }
        borrower.mQuestion = null;
        List<Told> told = settleAlone(member, borrower, late.waiting(), nowMillis);
        return withNext(told, member, borrower, nowMillis);
    }

    private List<Told> withNext(List<Told> told, String member, Borrower borrower, long nowMillis) {
        List<Told> all = new ArrayList<>(told);
        all.addAll(next(member, borrower, nowMillis));
        return all;
    }

    private void expireRelays(long nowMillis) {
        List<Relay> late = new ArrayList<>();
        for (Iterator<Relay> relays = mRelays.values().iterator(); relays.hasNext(); ) {
            Relay relay = relays.next();
            if (nowMillis >= relay.untilMillis()) {
                relays.remove();
                late.add(relay);
            }
        }
        for (Relay relay : late) {
            mSilentUntilMillis.put(relay.home(), nowMillis + SILENT_MILLIS);
            lend(relay.asker(), relay.ask(), nowMillis);
        }
    }

    /** Returns the node that counts the member's tokens. */
    public Address home(String member) {
        return mHomes.home(member);
    }
}
