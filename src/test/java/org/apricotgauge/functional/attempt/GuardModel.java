package org.apricotgauge.functional.attempt;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.AdmissionDecision;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.decision.admission.RejectionReason;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.attempt.AttemptAdmission;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.attempt.IdempotencyLedger;
import org.apricotgauge.decision.attempt.KeyDecision;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.StoredAnswer;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.functional.attempt.Submission.Exchange;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;

/** A guard as the node wires it: the ledgers and the queue are the real ones. */
final class GuardModel {
    static final AttemptLimits ATTEMPTS = new AttemptLimits(8, 6, 2_000, 200);
    static final KeyLimits KEYS = new KeyLimits(16, 1_000, 2_000, KeyLimits.NewOwnerPolicy.REFUSE);
    static final int SLOTS = 2;

    /**
     * Bytes that have left the guard: the target may run them at any time, even once it crashed.
     */
    static final class Job {
        final Exchange mExchange;
        boolean mRan;

        Job(Exchange exchange) {
            mExchange = exchange;
        }
    }

    private static final class Work {
        final Exchange mExchange;
        final Ticket mTicket;
        boolean mHasSlot;
        Job mJob;

        Work(Exchange exchange, Ticket ticket) {
            mExchange = exchange;
            mTicket = ticket;
        }
    }

    final List<Job> mTargetInbox = new ArrayList<>();
    boolean mPaused;
    boolean mLeaving;
    long mClockMillis = -1_000;
    int mRun;
    private final Consumer<Message> mNetwork;
    private final Oracle mOracle;
    private final Map<Long, Work> mWorks = new LinkedHashMap<>();
    private AttemptLedger mLedger;
    private IdempotencyLedger mKeys;
    private AdmissionQueue mQueue;
    private long mNextTicket;

    GuardModel(Consumer<Message> network, Oracle oracle) {
        mNetwork = network;
        mOracle = oracle;
        restart();
    }

    /** Crashes and starts again: whatever the process knew is gone, its target's bytes are not. */
    void restart() {
        mRun++;
        mLeaving = false;
        mPaused = false;
        mWorks.clear();
        mLedger = new AttemptLedger(mRun, ATTEMPTS);
        mKeys = new IdempotencyLedger(KEYS, mClockMillis);
        mQueue = new AdmissionQueue(new AdmissionConfig(SLOTS, 3, 4, 20_000));
    }

    AttemptLedger ledger() {
        return mLedger;
    }

    void onRequest(Exchange exchange) {
        AttemptAdmission arrival = mLedger.admit(exchange.attempt(), mClockMillis);
        mOracle.count("arrival " + arrival);
        if (arrival == AttemptAdmission.DUPLICATE) {
            return;
        }
        if (arrival != AttemptAdmission.ADMITTED) {
            Outcome refused =
                    arrival.provesNotRun()
                            ? new Outcome.NotRun(NotRunReason.GUARD_RESTARTED, 0)
                            : new Outcome.Unknown(UnknownReason.FORGOTTEN);
            respond(exchange, refused, exchange.submission().mId);
            return;
        }
        if (mLeaving) {
            refuse(exchange, NotRunReason.LEAVING);
            return;
        }
        if (exchange.submission().mKey == null || beginKey(exchange)) {
            enqueue(exchange);
        }
    }

    private boolean beginKey(Exchange exchange) {
        Submission submission = exchange.submission();
        KeyDecision verdict = mKeys.begin(submission.mKey, 7, Long.MIN_VALUE / 2, mClockMillis);
        mOracle.count("key " + verdict.getClass().getSimpleName());
        if (verdict instanceof KeyDecision.Execute) {
            return true;
        }
        if (verdict instanceof KeyDecision.HistoryUnknown) {
            refuse(exchange, NotRunReason.KEY_HISTORY_UNKNOWN);
        } else if (verdict instanceof KeyDecision.LedgerFull) {
            refuse(exchange, NotRunReason.LEDGER_FULL);
        } else {
            mLedger.withdraw(exchange.attempt(), mClockMillis);
            respondToRepeat(exchange, verdict);
        }
        return false;
    }

    private void respondToRepeat(Exchange exchange, KeyDecision verdict) {
        if (verdict instanceof KeyDecision.Replay done) {
            int answerOf = (int) done.answer().bodyBytes();
            respond(exchange, new Outcome.Answered(done.answer().status()), answerOf);
        } else {
            respond(exchange, new Outcome.Unknown(UnknownReason.KEY_RUNNING), 0);
        }
    }

    private void enqueue(Exchange exchange) {
        Priority priority = Priority.values()[exchange.submission().mId % 3];
        Member member = new Member("m" + exchange.submission().mId % 2, 1);
        long deadlineMillis = exchange.attempt().latestStartMillis() + 1;
        Ticket ticket = new Ticket(mNextTicket++, member, priority, deadlineMillis);
        Work work = new Work(exchange, ticket);
        mWorks.put(ticket.id(), work);
        AdmissionDecision offer = mQueue.offer(ticket, mClockMillis);
        mOracle.count("offer " + offer.getClass().getSimpleName());
        if (offer instanceof AdmissionDecision.Admitted) {
            work.mHasSlot = true;
        } else if (offer instanceof AdmissionDecision.Rejected refused) {
            drop(work, reasonOf(refused.rejection().reason()));
        } else if (offer instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(r -> drop(workOf(r.ticket()), reasonOf(r.reason())));
        }
        mOracle.require(mQueue.inFlight() <= SLOTS, "slots exceeded");
    }

    /** Writes the first byte of one admitted request, unless it was fenced meanwhile. */
    void start(int pick) {
        Work work = pick(pick, true, false);
        if (work == null) {
            return;
        }
        if (!mLedger.started(work.mExchange.attempt())) {
            mOracle.count("start refused");
            drop(work, NotRunReason.FENCED);
            return;
        }
        work.mJob = new Job(work.mExchange);
        mTargetInbox.add(work.mJob);
        mOracle.onStarted(work.mExchange, mClockMillis);
    }

    void targetRuns(int pick) {
        if (mTargetInbox.isEmpty()) {
            return;
        }
        Job job = mTargetInbox.remove(pick % mTargetInbox.size());
        job.mRan = true;
        mOracle.onRun(job.mExchange);
    }

    void targetAnswers(int pick, boolean sheds) {
        Work work = pick(pick, true, true);
        if (work == null || !work.mJob.mRan) {
            return;
        }
        Submission submission = work.mExchange.submission();
        int status = sheds ? 503 : 200;
        mLedger.completed(work.mExchange.attempt(), status, mClockMillis);
        if (submission.mKey != null) {
            StoredAnswer answer = StoredAnswer.withoutBody(status, submission.mId);
            mKeys.completed(submission.mKey, answer, mClockMillis);
        }
        respond(work.mExchange, new Outcome.Answered(status), submission.mId);
        finish(work, sheds ? RunResult.SHED : RunResult.ANSWERED);
    }

    void targetBreaks(int pick) {
        Work work = pick(pick, true, true);
        if (work != null) {
            breakOff(work);
            respond(work.mExchange, new Outcome.Unknown(UnknownReason.STARTED), 0);
        }
    }

    void onCancel(Exchange exchange) {
        for (Work work : List.copyOf(mWorks.values())) {
            if (!work.mExchange.equals(exchange)) {
                continue;
            }
            if (work.mJob != null) {
                breakOff(work);
            } else {
                drop(work, NotRunReason.CANCELLED);
            }
        }
    }

    void expire() {
        apply(mQueue.expire(mClockMillis));
    }

    int working() {
        return mWorks.size();
    }

    private void breakOff(Work work) {
        mLedger.broken(work.mExchange.attempt(), mClockMillis);
        if (work.mExchange.submission().mKey != null) {
            mKeys.outcomeUnknown(work.mExchange.submission().mKey, mClockMillis);
        }
        finish(work, RunResult.CANCELLED);
    }

    private void drop(Work work, NotRunReason reason) {
        if (work.mExchange.submission().mKey != null) {
            mKeys.notRun(work.mExchange.submission().mKey);
        }
        refuse(work.mExchange, reason);
        finish(work, RunResult.CANCELLED);
    }

    private void finish(Work work, RunResult result) {
        mWorks.remove(work.mTicket.id());
        if (work.mHasSlot) {
            apply(mQueue.release(work.mTicket, result, 20_000, mClockMillis));
        } else {
            mQueue.cancel(work.mTicket);
        }
    }

    private void apply(QueueChanges changes) {
        changes.admitted().forEach(ticket -> workOf(ticket).mHasSlot = true);
        changes.rejected().forEach(r -> drop(workOf(r.ticket()), reasonOf(r.reason())));
    }

    private void refuse(Exchange exchange, NotRunReason reason) {
        boolean proven = mLedger.withdraw(exchange.attempt(), mClockMillis);
        Outcome outcome =
                proven
                        ? new Outcome.NotRun(reason, 10)
                        : new Outcome.Unknown(UnknownReason.FORGOTTEN);
        respond(exchange, outcome, 0);
    }

    private void respond(Exchange exchange, Outcome outcome, int answerOf) {
        mNetwork.accept(
                new Message.Response(exchange, outcome, mLedger.stamp(mClockMillis), answerOf));
    }

    private Work pick(int pick, boolean hasSlot, boolean started) {
        List<Work> works =
                mWorks.values().stream()
                        .filter(w -> w.mHasSlot == hasSlot && (w.mJob != null) == started)
                        .toList();
        return works.isEmpty() ? null : works.get(pick % works.size());
    }

    private Work workOf(Ticket ticket) {
        return mWorks.get(ticket.id());
    }

    private static NotRunReason reasonOf(RejectionReason reason) {
        return switch (reason) {
            case DEADLINE_TOO_SHORT -> NotRunReason.DEADLINE_TOO_SHORT;
            case DEADLINE_PASSED -> NotRunReason.DEADLINE_PASSED;
            case BUSY -> NotRunReason.BUSY;
            case QUEUE_FULL -> NotRunReason.QUEUE_FULL;
        };
    }
}
