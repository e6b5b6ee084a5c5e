package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.SubmissionProgress;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.retry.RetryQueue;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.decision.retry.ReturnSchedule;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Service;
import org.eclipse.jetty.http.HttpFields;

/**
 * The wait of one request for a retry, while the targets of its service shed or no guard has a
 * retry left.
 *
 * <p>The exchange takes the outcomes of its attempts here; without ranked retries nothing waits.
 */
final class RetryWait implements RetryWaiter {
    /** Least time that is left for an attempt, whose run time may be unknown. */
    private static final long MIN_RUN_MILLIS = 100;

    private final CallerExchange mExchange;
    private final Optional<ServiceRetries> mRetries;
    private final ReturnSchedule.Caller mCaller;
    private final ReturnSchedule.Arrival mArrival;
    private volatile long mEnteredMillis = -1;
    private volatile SubmissionProgress mProgress;

    RetryWait(CallerExchange exchange, Service service) {
        mExchange = exchange;
        mRetries = exchange.context().shedRetries().of(service);
        long requestHash =
                mRetries.isEmpty()
                        ? 0
                        : Fingerprints.headHash(
                                exchange.request(), exchange.callerRequest().memberId());
        mCaller =
                new ReturnSchedule.Caller(
                        requestHash, nowMillis() + exchange.callerRequest().timeoutMillis());
        mArrival =
                mRetries.map(retries -> retries.onRequest(mCaller))
                        .orElse(ReturnSchedule.Arrival.NEW);
    }

    /** Tells the guard the rank of this request, and of the first one that waits. */
    void addHeaders(HttpFields.Mutable headers) {
        mRetries.ifPresent(
                retries -> {
                    RetryRank rank = newPlace().rankAt(nowMillis());
                    headers.put(HeaderNames.RETRY_RANK, rank.toText());
                    retries.firstWaitingRank()
                            .ifPresent(
                                    first -> headers.put(HeaderNames.RETRY_WANTED, first.toText()));
                });
    }

    /**
     * Handles the head of a guard's answer.
     *
     * @param outcome what the guard reported; empty if the target answered
     */
    void onGuardAnswered(String targetId, Optional<Outcome> outcome, HttpFields headers) {
        mRetries.ifPresent(
                retries -> {
                    boolean shed = isNotRun(outcome.orElse(null), NotRunReason.TARGET_SHED);
                    if (shed || outcome.isEmpty()) {
                        retries.recordOutcome(targetId, shed);
                        if (mExchange.retryState().isRetry()) {
                            retries.onRetry();
                        }
                    } else if (isNotRun(outcome.get(), NotRunReason.RETRIES_SPENT)) {
                        retries.onNoRetry();
                    }
                    if (headers.contains(HeaderNames.WAITING_RETRY_PREPAID)) {
                        retries.onWaitingRetryPrepaid();
                    }
                });
    }

    /**
     * Returns whether the request waits, or was refused, in place of its next attempt.
     *
     * @param state the state after the last attempt
     * @param hasTarget whether a target may be left that was not tried; if not, and none was tried
     *     since the last wait, the request does not wait again
     */
    boolean tryWait(RetryState state, boolean hasTarget) {
        SubmissionProgress progress = state.progress();
        boolean prepaid = state.isRetryPrepaid();
        boolean isAnyTarget = hasTarget || progress.attempts() > progress.possibleRuns();
        if (mRetries.isEmpty() || !isAnyTarget || !needsRetry(progress, state.maxRuns())) {
            return false;
        }
        ServiceRetries retries = mRetries.get();
        boolean shed = isNotRun(progress.lastOutcome(), NotRunReason.TARGET_SHED);
        if (shed && hasTarget && !retries.isShedding()) {
            return false;
        }
        mProgress = progress;
        if (mEnteredMillis < 0) {
            mEnteredMillis = nowMillis();
        }
        if (!retries.tryGo(newPlace(), prepaid)) {
            return true;
        }
        if (!hasTarget) {
            mExchange.resume(prepaid);
        }
        return !hasTarget;
    }

    private static boolean needsRetry(SubmissionProgress progress, int maxRuns) {
        boolean mayRun =
                !progress.mayHaveRun()
                        || (progress.idempotent() && progress.possibleRuns() < maxRuns);
        return mayRun
                && (isNotRun(progress.lastOutcome(), NotRunReason.RETRIES_SPENT)
                        || isNotRun(progress.lastOutcome(), NotRunReason.TARGET_SHED));
    }

    /** Returns an outcome with the time at which its caller may come back. */
    Outcome withReturnTime(Outcome outcome) {
        boolean isScheduled =
                isNotRun(outcome, NotRunReason.RETRIES_SPENT)
                        || isNotRun(outcome, NotRunReason.TARGET_SHED);
        if (mRetries.isEmpty() || !isScheduled) {
            return outcome;
        }
        long millis = mRetries.get().nextReturnMillis(mCaller, priority());
        return new Outcome.NotRun(((Outcome.NotRun) outcome).reason(), millis);
    }

    private RetryQueue.Place<RetryWaiter> newPlace() {
        ExchangeDeadline deadline = mExchange.deadline();
        long nowMillis = nowMillis();
        String route = mExchange.callerRequest().route().id();
        long runMillis = Math.max(MIN_RUN_MILLIS, mExchange.context().runTimes().meanMillis(route));
        return new RetryQueue.Place<>(
                this,
                priority(),
                mEnteredMillis < 0 ? nowMillis : mEnteredMillis,
                nowMillis + deadline.softRemainingMillis() - runMillis,
                nowMillis + deadline.remainingMillis() - runMillis,
                mExchange.body().bufferedBytes(),
                mArrival);
    }

    // The run that makes a nested call holds a slot until the call ends.
    private Priority priority() {
        return mExchange.parentId().isPresent()
                ? Priority.CRITICAL
                : mExchange.callerRequest().priority();
    }

    @Override
    public boolean hasEnded() {
        return mExchange.hasEnded() || (!mProgress.mayHaveRun() && mExchange.refuseByStop());
    }

    @Override
    public void resume(boolean prepaid) {
        mExchange.resume(prepaid);
    }

    @Override
    public void refuse(RetryQueue.Refusal<RetryWaiter> refusal) {
        long nowMillis = nowMillis();
        mExchange.recordStep(
                "no retry: "
                        + refusal.reason()
                        + " as "
                        + RetryMetrics.nameOf(refusal.place().rankAt(nowMillis))
                        + " after "
                        + (nowMillis - refusal.place().enteredMillis())
                        + " ms");
        mExchange.finish(
                mProgress.mayHaveRun()
                        ? new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)
                        : withReturnTime(mProgress.lastOutcome()));
    }

    private long nowMillis() {
        return mExchange.context().ticker().millis();
    }

    private static boolean isNotRun(Outcome outcome, NotRunReason reason) {
        return outcome instanceof Outcome.NotRun notRun && notRun.reason() == reason;
    }
}
