package org.apricotgauge.caller;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.routing.BalancingPolicy;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.LocalFirstPolicy;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.stop.StopSchedule;

/**
 * Selects the targets for the successive attempts of one request.
 *
 * <p>The first attempt goes to the target beside the entry if that is preferred and has a free
 * slot. The first attempts look for a free slot and don't wait. The next ones wait at a target as
 * long as the answer can meet the soft deadline, the last ones up to the deadline, including at
 * targets that were busy before. Once all other targets have been tried, the request goes to the
 * suspect target with the lowest degradation probability; if it is idempotent, this includes
 * targets that ran it without an answer. A guard that announced a stop which the request doesn't
 * fit is used only if no other one is left. Used by one exchange with sequential attempts;
 * otherwise not thread-safe.
 */
final class TargetSelector {
    /**
     * Attempts that look for a free slot. With two thirds of all slots busy and three slots per
     * target, two attempts find no free slot for 1 in 11 requests, one attempt for 1 in 3.
     */
    static final int NO_WAIT_ATTEMPTS = 2;

    /** Further attempts that wait up to the soft deadline; the next ones wait to the deadline. */
    static final int SOFT_DEADLINE_ATTEMPTS = 2;

    private final EntryContext mContext;
    private final Supplier<ServiceTable> mTable;
    private final boolean mIdempotent;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mBusy = new HashSet<>();
    private final Set<String> mEndingSoon = new HashSet<>();
    private final Set<String> mWorking = new HashSet<>();
    private final Set<String> mSilent = new HashSet<>();
    private final LongPredicate mFitsStop;
    private final Map<String, Candidate> mSuspects = new HashMap<>();
    private Candidate mLastCandidate;
    private int mBusyRefusals;
    private boolean mSkippedBeside;
    private boolean mLastResort;
    private boolean mTakesEndingSoon;

    /**
     * Creates the selector of one request.
     *
     * @param table supplies the current service. A request may take seconds; a target that began to
     *     leave after the request arrived would refuse it, at the cost of a hop and some
     *     milliseconds
     * @param idempotent whether the request may run more than once
     * @param fitsStop whether the request fits the milliseconds that a stopping guard has left
     */
    TargetSelector(
            EntryContext context,
            Supplier<ServiceTable> table,
            boolean idempotent,
            LongPredicate fitsStop) {
        mContext = context;
        mTable = table;
        mIdempotent = idempotent;
        mFitsStop = fitsStop;
    }

    /** Returns whether the current attempt goes to a suspect target as a last resort. */
    boolean isLastResort() {
        return mLastResort;
    }

    /** Returns whether the current attempt may wait for a slot. */
    QueueingPolicy queueingPolicy() {
        if (mContext.targetAccess() != EntryOptions.TargetAccess.GUARDS_ONLY || mLastResort) {
            return QueueingPolicy.MAY_WAIT;
        }
        if (mBusyRefusals < NO_WAIT_ATTEMPTS) {
            return QueueingPolicy.NO_WAIT;
        }
        boolean waitsUntilSoftDeadline = mBusyRefusals < NO_WAIT_ATTEMPTS + SOFT_DEADLINE_ATTEMPTS;
        return waitsUntilSoftDeadline ? QueueingPolicy.WHILE_USEFUL : QueueingPolicy.MAY_WAIT;
    }

    /**
     * Returns the target of the next attempt; empty if none is left.
     *
     * @param lastOutcome outcome of the previous attempt; null before the first
     */
    Optional<Candidate> next(Outcome lastOutcome) {
        recordOutcome(lastOutcome);
        Optional<Candidate> candidate = choose(lastOutcome);
        while (candidate.isPresent() && setAside(candidate.get())) {
            candidate = choose(lastOutcome);
        }
        candidate.ifPresent(one -> mTried.add(one.target().id()));
        mLastCandidate = candidate.orElse(null);
        return candidate;
    }

    /** Makes all targets candidates again, after a pause; attempts may wait for a slot then. */
    void startOver() {
        mTried.clear();
        mTried.addAll(mWorking);
        mTried.addAll(mSilent);
        mBusy.clear();
        mSuspects.clear();
        mLastCandidate = null;
        mLastResort = false;
        mSkippedBeside = false;
        mEndingSoon.clear();
        mTakesEndingSoon = false;
        mBusyRefusals = NO_WAIT_ATTEMPTS;
    }

    /**
     * Leaves the target of the last attempt, which stays open, to the last.
     *
     * @param isWorking whether it is known to work on the request, so that it is left out
     */
    void setAside(boolean isWorking) {
        if (mLastCandidate != null) {
            (isWorking ? mWorking : mSilent).add(mLastCandidate.target().id());
        }
    }

    private void recordOutcome(Outcome lastOutcome) {
        if (mLastCandidate == null) {
            return;
        }
        String id = mLastCandidate.target().id();
        if (lastOutcome instanceof Outcome.NotRun notRun && notRun.reason() == NotRunReason.BUSY) {
            mBusy.add(id);
            mBusyRefusals++;
        }
        if (isSuspect(lastOutcome) && !mWorking.contains(id)) {
            mSuspects.put(id, mLastCandidate);
        }
        if (mBusyRefusals == NO_WAIT_ATTEMPTS
                || mBusyRefusals == NO_WAIT_ATTEMPTS + SOFT_DEADLINE_ATTEMPTS) {
            // From now on, attempts wait longer, so the busy targets are candidates again.
            readmitBusy();
        }
    }

    private void readmitBusy() {
        mTried.removeAll(mBusy);
        mBusy.clear();
    }

    private boolean isSuspect(Outcome lastOutcome) {
        if (lastOutcome instanceof Outcome.NotRun notRun) {
            return notRun.reason() == NotRunReason.TARGET_SUSPECT;
        }
        return mIdempotent && lastOutcome instanceof Outcome.Unknown;
    }

    private boolean setAside(Candidate candidate) {
        String id = candidate.target().id();
        if (isGuardUnreachable(candidate)) {
            return mTried.add(id);
        }
        if (endsTooSoon(candidate)) {
            mEndingSoon.add(id);
            return mTried.add(id);
        }
        return false;
    }

    // The guard is about to end, and would cut the request or refuse it.
    private boolean endsTooSoon(Candidate candidate) {
        if (mTakesEndingSoon
                || !mContext.hasReachableGuard(candidate)
                || mTried.contains(candidate.target().id())) {
            return false;
        }
        long stopMillis = mContext.guards().stopMillis(candidate.guard());
        return stopMillis != StopSchedule.NOT_STOPPING && !mFitsStop.test(stopMillis);
    }

    // At a guard that has just refused connections, a request would use up its attempts while other
    // targets are idle.
    private boolean isGuardUnreachable(Candidate candidate) {
        return mContext.targetAccess() == EntryOptions.TargetAccess.GUARDS_ONLY
                && !mContext.hasReachableGuard(candidate)
                && !mTried.contains(candidate.target().id());
    }

    private Optional<Candidate> choose(Outcome lastOutcome) {
        if (mTried.isEmpty() && mIdempotent) {
            Optional<Candidate> probe =
                    mContext.probes()
                            .tryAcquire(mTable.get().service().id())
                            .flatMap(this::currentCandidate);
            if (probe.isPresent()) {
                return probe;
            }
        }
        if (mTried.isEmpty() && isFirstChoice(lastOutcome)) {
            Optional<Candidate> beside = localFirst();
            if (beside.isPresent()) {
                return beside;
            }
        }
        Optional<Candidate> untried = balanceRetry(lastOutcome).or(() -> balance(mTried));
        if (untried.isPresent()) {
            return untried;
        }
        if (mSkippedBeside) {
            Optional<Candidate> busy = waitAtBusy();
            if (busy.isPresent()) {
                return busy;
            }
        }
        if (!mEndingSoon.isEmpty()) {
            return busyOrEndingSoon();
        }
        if (mayReachOnRetry(lastOutcome)) {
            // Only targets are left whose path failed, or whose guard didn't read the body in time;
            // a new attempt may reach them.
            return balance(mWorking);
        }
        return leastDegraded();
    }

    private boolean isFirstChoice(Outcome lastOutcome) {
        return lastOutcome == null && mBusyRefusals == 0;
    }

    private Optional<Candidate> localFirst() {
        StopSchedule ownStop = mContext.stop();
        if (ownStop.hasBegun() && !mFitsStop.test(ownStop.remainingMillis())) {
            return Optional.empty();
        }
        Optional<LocalFirstPolicy.Decision> decision =
                mContext.localFirst().decide(mTable.get(), mContext.ticker().nanos());
        if (decision.filter(one -> one.reason() == LocalFirstPolicy.Reason.FULL).isPresent()) {
            // The guard would refuse to admit the request without waiting.
            String id = decision.get().beside().orElseThrow().target().id();
            mTried.add(id);
            mBusy.add(id);
            mSkippedBeside = true;
        }
        return decision.filter(LocalFirstPolicy.Decision::stays)
                .flatMap(LocalFirstPolicy.Decision::beside);
    }

    private Optional<Candidate> waitAtBusy() {
        mSkippedBeside = false;
        mBusyRefusals = Math.max(mBusyRefusals, NO_WAIT_ATTEMPTS);
        readmitBusy();
        return balance(mTried);
    }

    // A slot that becomes free at a busy target is worth more than one at a guard that ends.
    private Optional<Candidate> busyOrEndingSoon() {
        if (!mBusy.isEmpty()) {
            Optional<Candidate> busy = waitAtBusy();
            if (busy.isPresent()) {
                return busy;
            }
        }
        mTakesEndingSoon = true;
        mTried.removeAll(mEndingSoon);
        mEndingSoon.clear();
        return balance(mTried);
    }

    // If every target is suspect, a refusal is worse than the risk of the least degraded one.
    private Optional<Candidate> leastDegraded() {
        if (mLastResort) {
            return Optional.empty();
        }
        long nowNanos = mContext.ticker().nanos();
        Optional<Candidate> best =
                mSuspects.values().stream()
                        .filter(one -> currentCandidate(one.target().id()).isPresent())
                        .min(
                                Comparator.comparingDouble(
                                        one -> one.load().degradationProbability(nowNanos)));
        mLastResort = best.isPresent();
        return best;
    }

    private Optional<Candidate> currentCandidate(String targetId) {
        return mTable.get().candidate(targetId);
    }

    private Optional<Candidate> balance(Set<String> excluded) {
        return BalancingPolicy.choose(
                mTable.get(), excluded, ThreadLocalRandom.current(), mContext.ticker().nanos());
    }

    /** Returns a target that did not shed its last request; empty for a first attempt. */
    private Optional<Candidate> balanceRetry(Outcome lastOutcome) {
        Set<String> excluded =
                lastOutcome == null
                        ? new HashSet<>()
                        : mContext.shedRetries()
                                .of(mTable.get().service())
                                .map(ServiceRetries::lastShedBy)
                                .orElseGet(HashSet::new);
        if (excluded.isEmpty()) {
            return Optional.empty();
        }
        excluded.addAll(mTried);
        return balance(excluded);
    }

    private static boolean mayReachOnRetry(Outcome lastOutcome) {
        if (lastOutcome instanceof Outcome.NotRun notRun) {
            return notRun.reason() == NotRunReason.FENCED
                    || notRun.reason() == NotRunReason.GUARD_RESTARTED
                    || notRun.reason() == NotRunReason.NEVER_SENT
                    || notRun.reason() == NotRunReason.BODY_UNREAD;
        }
        return lastOutcome instanceof Outcome.Unknown;
    }
}
