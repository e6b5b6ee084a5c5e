package org.apricotgauge.functional.attempt;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.KeyOwner;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.attempt.RetryDecision;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.attempt.TokenBucketRetryBudget;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.functional.attempt.Submission.Exchange;

/** An entry as the node wires it: identifiers, addresses, policy and budget are the real ones. */
final class EntryModel {
    private static final RetryPolicy POLICY = new RetryPolicy(4, 1);

    final List<Submission> mOpen = new ArrayList<>();
    boolean mPaused;
    long mClockMillis;
    private final String mName;
    private final List<GuardModel> mGuards;
    private final Consumer<Message> mNetwork;
    private final Oracle mOracle;
    private final GuardClockEstimate[] mSightings;
    private final RetryBudget mBudget = new TokenBucketRetryBudget(0.5, 20, 100);
    private AttemptIdGenerator mIds;
    private int mRun;

    EntryModel(String name, List<GuardModel> guards, Consumer<Message> network, Oracle oracle) {
        mName = name;
        mGuards = guards;
        mNetwork = network;
        mOracle = oracle;
        mSightings = new GuardClockEstimate[guards.size()];
        restart();
    }

    /** Crashes and starts again: the connections of its callers break, which tells them nothing. */
    void restart() {
        mPaused = false;
        mIds = new AttemptIdGenerator(mName, ++mRun);
        mOpen.forEach(s -> mOracle.onTold(s, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE)));
        mOpen.clear();
        for (int i = 0; i < mSightings.length; i++) {
            GuardModel guard = mGuards.get(i);
            mSightings[i] =
                    new GuardClockEstimate(guard.ledger().stamp(guard.mClockMillis), mClockMillis);
        }
    }

    void submit(Submission submission, int pick) {
        mOpen.add(submission);
        mBudget.onRequest(mClockMillis);
        sendAnew(submission, pick);
    }

    void onResponse(Message.Response response) {
        Exchange exchange = response.exchange();
        int guard = exchange.guard();
        GuardClockEstimate seen = new GuardClockEstimate(response.stamp(), mClockMillis);
        mSightings[guard] = mSightings[guard].merge(seen);
        if (isCurrent(exchange)) {
            if (response.outcome() instanceof Outcome.Answered) {
                mOracle.onAnswer(exchange.submission(), response.answerOf());
            }
            ended(exchange.submission(), response.outcome());
        }
    }

    void onFenceResponse(Message.FenceResponse response) {
        if (isCurrent(response.exchange())) {
            mOracle.count("fence " + response.answer().state());
            ended(response.exchange().submission(), response.answer().toOutcome());
        }
    }

    /** Loses patience with the current attempt, or with the fence sent after it. */
    void giveUp(int pick) {
        if (mOpen.isEmpty()) {
            return;
        }
        Submission submission = mOpen.get(pick % mOpen.size());
        if (submission.mFencing) {
            ended(submission, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
            return;
        }
        submission.mFencing = true;
        Exchange exchange = submission.mCurrent;
        mNetwork.accept(new Message.Fence(exchange, mGuards.get(exchange.guard()).mRun));
    }

    /** The caller goes away: told nothing, which counts as unknown; the guard hears of it. */
    void callerCancels(int pick) {
        if (mOpen.isEmpty()) {
            return;
        }
        Submission submission = mOpen.remove(pick % mOpen.size());
        mOracle.onTold(submission, new Outcome.Unknown(UnknownReason.ANSWER_LOST));
        mNetwork.accept(new Message.Cancel(submission.mCurrent));
    }

    private boolean isCurrent(Exchange exchange) {
        Submission submission = exchange.submission();
        return mOpen.contains(submission) && submission.mCurrent.equals(exchange);
    }

    private void ended(Submission submission, Outcome outcome) {
        submission.mFencing = false;
        submission.mProgress = submission.mProgress.after(outcome);
        if (outcome instanceof Outcome.Unknown && submission.mPinned == null) {
            submission.mPinned = submission.mCurrent;
        }
        long leftMillis = submission.mDeadlineMillis - mClockMillis;
        RetryDecision next =
                POLICY.decide(
                        submission.mProgress, leftMillis, () -> mBudget.tryRetry(mClockMillis));
        mOracle.count(next.getClass().getSimpleName());
        if (next instanceof RetryDecision.Retry) {
            sendAnew(submission, submission.mProgress.attempts());
        } else if (next instanceof RetryDecision.RetryAtSameGuard) {
            Exchange pinned = submission.mPinned;
            send(submission, pinned.attempt().withId(mIds.next()), pinned.guard());
        } else if (next instanceof RetryDecision.Finish finish) {
            mOpen.remove(submission);
            mOracle.onTold(submission, finish.outcome());
        }
    }

    private void sendAnew(Submission submission, int pick) {
        int guard = submission.mKey == null ? pick % mGuards.size() : homeOf(submission.mKey);
        Attempt attempt =
                mSightings[guard].newAttempt(mIds.next(), mClockMillis, submission.mDeadlineMillis);
        send(submission, attempt, guard);
    }

    private void send(Submission submission, Attempt attempt, int guard) {
        submission.mCurrent = new Exchange(submission, attempt, guard);
        mNetwork.accept(new Message.Request(submission.mCurrent, 0));
    }

    private static int homeOf(IdempotencyKey key) {
        return Integer.parseInt(KeyOwner.of(key, List.of("0", "1")));
    }
}
