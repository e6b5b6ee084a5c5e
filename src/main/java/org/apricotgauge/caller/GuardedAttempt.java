package org.apricotgauge.caller;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.Outcomes;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.model.StartLimit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An attempt through the guard beside the target.
 *
 * <p>The guard says at once, and then every second, that it has the attempt. Silence means that the
 * path is dead one way or the other: the attempt is fenced over a new connection, and only the
 * guard's "not run" lets it count as not run.
 */
final class GuardedAttempt implements TargetAttempt, UpstreamExchange.Listener {
    /** Longest wait for the answer to a fence, a new connection included. */
    static final long FENCE_MILLIS = 2_000;

    /** Part of the time left that a guard may not use, so that its word arrives before the end. */
    private static final long MARGIN_MILLIS = 100;

    /** The margin is at most this part of the time left. */
    private static final long MARGIN_PART = 10;

    /** As sick as a target counts right after a failure. */
    private static final double DISTRUSTED = 0.95;

    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Candidate mCandidate;
    private final AttemptAccount mAccount;
    private final AtomicBoolean mFencing = new AtomicBoolean();
    private volatile Attempt mAttempt;
    private volatile long mAskedMillis;
    private volatile UpstreamExchange mUpstream;
    private volatile Scheduler.Task mSilence;
    private volatile boolean mHeard;
    private volatile boolean mGivenUp;

    GuardedAttempt(CallerExchange exchange, Candidate candidate) {
        mExchange = exchange;
        mContext = exchange.context();
        mCandidate = candidate;
        mAccount = new AttemptAccount(mContext, candidate);
    }

    @Override
    public void send() {
        mAccount.begin();
        long waitMillis = Math.max(1, Math.min(firstWordMillis(), mExchange.leftMillis()));
        mContext.guards()
                .sighting(mCandidate.guard(), waitMillis)
                .whenComplete(
                        (sighting, failure) -> {
                            if (failure == null) {
                                sendTo(sighting);
                            } else {
                                unreachable();
                            }
                        });
    }

    private void unreachable() {
        over();
        distrust();
        mAccount.observed(ObservedOutcome.PATH_FAULT);
        mContext.metrics().pathFaults().inc();
        mContext.guards().connectFailed(mCandidate.guard());
        mExchange.attemptEnded(this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
    }

    private void sendTo(GuardClockEstimate sighting) {
        long leftMillis = mExchange.leftMillis();
        if (leftMillis <= 0) {
            over();
            return;
        }
        long untilMillis =
                mExchange.deadlineMillis() - Math.min(MARGIN_MILLIS, leftMillis / MARGIN_PART);
        mAttempt =
                sighting.newAttempt(mContext.ids().next(), mContext.ticker().millis(), untilMillis);
        awaitWord(firstWordMillis());
        mUpstream = UpstreamExchange.send(hopRequest(leftMillis), this);
    }

    private Request hopRequest(long leftMillis) {
        org.eclipse.jetty.server.Request from = mExchange.request();
        Request to =
                mContext.guards()
                        .newRequest(mCandidate.guard())
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        to.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(from.getHeaders(), headers);
                    mExchange.asked().requester().hideCredentials(headers);
                    headers.put(Attempt.HEADER, mAttempt.toString());
                    headers.put(HeaderNames.TARGET, mCandidate.target().id());
                    headers.put(HeaderNames.MEMBER, mExchange.asked().memberId());
                    headers.put(HeaderNames.TIMEOUT_MILLIS, leftMillis);
                    headers.put(HeaderNames.PRIORITY, priority());
                    headers.put(
                            HeaderNames.CAUTION,
                            mExchange.caution().name().toLowerCase(Locale.ROOT));
                    mCandidate
                            .load()
                            .startLimit()
                            .ifPresent(
                                    limit -> headers.put(HeaderNames.TARGET_LIMIT, limit.toText()));
                    addPatience(headers);
                    addRepeat(headers);
                    mContext.dialect().markOrigin(headers);
                    mAskedMillis = mContext.observer().beforeHop(headers);
                });
        to.body(mExchange.body().open());
        return to;
    }

    private void addRepeat(HttpFields.Mutable headers) {
        boolean parentRepeats =
                mExchange.parentId().filter(mContext.observer()::isRepeat).isPresent();
        if (mExchange.parentId().isPresent()) {
            headers.put(HeaderNames.CALL, "1");
        }
        if (mExchange.isRepeat()) {
            headers.put(
                    HeaderNames.REPEAT,
                    mExchange.isPaid() ? HeaderNames.REPEAT_PAID : HeaderNames.REPEAT_OWN);
        } else if (parentRepeats) {
            headers.put(HeaderNames.REPEAT, HeaderNames.REPEAT_PARENT);
        }
    }

    private void addPatience(HttpFields.Mutable headers) {
        QueueingPolicy patience = mExchange.patience();
        if (patience != QueueingPolicy.MAY_WAIT) {
            headers.put(HeaderNames.PATIENCE, patience.name().toLowerCase(Locale.ROOT));
        }
        headers.put(HeaderNames.USEFUL_MILLIS, Math.max(0, mExchange.usefulMillis()));
    }

    private String priority() {
        return mExchange.asked().priority().name().toLowerCase(Locale.ROOT);
    }

    private long firstWordMillis() {
        return SilencePolicy.DEFAULT.firstWordMillis(mContext.lag().lagMillis());
    }

    private void awaitWord(long millis) {
        cancelSilence();
        mSilence = mContext.scheduler().schedule(this::silent, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean onBegin() {
        mGivenUp = !mExchange.mayBegin(this);
        return !mGivenUp;
    }

    @Override
    public void onAcknowledged(HttpFields fields) {
        mHeard = true;
        mContext.guards().sighted(mCandidate.guard(), fields);
        mContext.observer().guardAcknowledged(fields, mAskedMillis);
        if (!mAccount.isOver()) {
            awaitWord(SilencePolicy.DEFAULT.silenceMillis(mContext.lag().lagMillis()));
        }
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
        cancelSilence();
        HttpFields headers = answer.getHeaders();
        mContext.guards().sighted(mCandidate.guard(), headers);
        mContext.observer().guardAnswered(mCandidate.target(), headers);
        reportLoad(headers);
        if (headers.contains(HeaderNames.TARGET_LEAVING)) {
            mContext.observer().targetLeaving(mCandidate.target());
        }
        if (headers.contains(HeaderNames.RETRY_PAID)) {
            mExchange.paid(this);
        }
        Optional<Outcome> outcome = Outcomes.read(headers);
        if (outcome.isPresent()) {
            over();
            Bodies.discard(body);
            mAccount.observed(ObservedOutcome.CANCELLED);
            if (outcome.get() instanceof Outcome.NotRun notRun
                    && notRun.reason() == NotRunReason.LEAVING) {
                // It stops, and its port closes in a moment.
                mContext.guards().connectFailed(mCandidate.guard());
            }
            mExchange.attemptEnded(this, outcome.get());
            return;
        }
        // An answer to another attempt on a mixed-up connection must never reach this caller.
        if (!mAttempt.toString().equals(headers.get(Attempt.HEADER))) {
            over();
            body.fail(new IllegalStateException("answer to another attempt"));
            mContext.metrics().mismatched().inc();
            mAccount.observed(ObservedOutcome.PATH_FAULT);
            mExchange.attemptEnded(this, new Outcome.Unknown(UnknownReason.ANSWER_LOST));
            return;
        }
        mAccount.observed(
                headers.contains(HeaderNames.CALL_LOST)
                        ? ObservedOutcome.CANCELLED
                        : AttemptAccount.outcomeOf(answer.getStatus()));
        mExchange.answered(this, answer, body);
    }

    private void reportLoad(HttpFields headers) {
        long loadPermille = headers.getLongField(HeaderNames.LOAD_PERMILLE);
        if (loadPermille >= 0) {
            mCandidate.load().reportLoad((int) loadPermille, mContext.ticker().nanos());
            String limit = headers.get(HeaderNames.TARGET_LIMIT);
            mCandidate.load().setStartLimit(StartLimit.parseOrNone(limit).orElse(null));
        }
        DegradationEstimate.Report.parse(headers.get(HeaderNames.HEALTH))
                .map(told -> told.receivedAt(mContext.ticker().millis()))
                .ifPresent(mCandidate.load()::reportDegradation);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        cancelSilence();
        if (mGivenUp) {
            over();
            return;
        }
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            unreachable();
            return;
        }
        fence(false);
    }

    private void silent() {
        mContext.metrics().pathFaults().inc();
        mContext.guards().wentSilent(mCandidate.guard());
        fence(true);
    }

    // Bytes went out and nothing came back. Only the guard can say that the attempt did not run,
    // and once it has said so it refuses the attempt should it still arrive.
    private void fence(boolean connectionOpen) {
        if (!mFencing.compareAndSet(false, true)) {
            return;
        }
        if (mExchange.asked().repeatable()) {
            goElsewhere(connectionOpen);
            return;
        }
        mContext.metrics().fences().inc();
        mContext.guards()
                .fence(
                        mCandidate.guard(),
                        mAttempt,
                        FENCE_MILLIS + firstWordMillis() - SilencePolicy.DEFAULT.firstWordMillis(0))
                .whenComplete((answer, failure) -> fenced(answer, connectionOpen));
    }

    /** Leaves the guard to itself: what may repeat need not wait for its word. */
    private void goElsewhere(boolean connectionOpen) {
        over();
        distrust();
        mAccount.observed(ObservedOutcome.PATH_FAULT);
        if (connectionOpen) {
            AttemptAccount.abort(mUpstream);
        }
        mContext.guards().abandon(mCandidate.guard(), mAttempt, FENCE_MILLIS);
        mExchange.attemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    // Whatever is wrong on the way counts, for some seconds, as if the target were sick: requests
    // of
    // this entry that must not repeat would meet the same silence.
    private void distrust() {
        mCandidate.load().recordFailure(DISTRUSTED, mContext.ticker().millis());
    }

    private void fenced(FenceAnswer answer, boolean connectionOpen) {
        distrust();
        mContext.observer().fenced(mCandidate.target(), mAttempt.id().toString(), answer);
        boolean started = answer != null && answer.state() == FenceAnswer.State.STARTED;
        if (started && connectionOpen) {
            // It runs, and must not run twice: the answer may still come over the old connection.
            mFencing.set(false);
            return;
        }
        over();
        mAccount.observed(answer == null ? ObservedOutcome.PATH_FAULT : ObservedOutcome.CANCELLED);
        Outcome outcome =
                answer == null
                        ? new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE)
                        : answer.toOutcome();
        if (connectionOpen) {
            AttemptAccount.abort(mUpstream);
        }
        mExchange.attemptEnded(this, outcome);
    }

    @Override
    public void abandon() {
        cancelSilence();
        over();
        mAccount.observed(mHeard ? ObservedOutcome.TIMEOUT : ObservedOutcome.PATH_FAULT);
        Attempt attempt = mAttempt;
        if (attempt != null) {
            mContext.guards().abandon(mCandidate.guard(), attempt, FENCE_MILLIS);
        }
        AttemptAccount.abort(mUpstream);
    }

    @Override
    public void over() {
        cancelSilence();
        mAccount.over();
    }

    private void cancelSilence() {
        Scheduler.Task silence = mSilence;
        if (silence != null) {
            silence.cancel();
        }
    }
}
