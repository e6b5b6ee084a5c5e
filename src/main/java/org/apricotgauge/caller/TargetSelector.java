package org.apricotgauge.caller;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.routing.BalancingPolicy;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;

/**
 * Chooses the targets of one request's attempts, one after the other.
 *
 * <p>The first attempts look for a free slot and wait nowhere. The next ones wait at a target as
 * long as the answer can be of full use, the last ones to the deadline, also at targets that were
 * too busy before. Once all others are tried, the request goes to the target that is the least
 * likely to be sick, also to one that ran it without an answer if it may run again. Used by one
 * exchange, whose attempts follow each other; not thread-safe beyond that.
 */
final class TargetSelector {
    /**
     * Attempts that look for a free slot. With two thirds of all slots busy, three slots each, two
     * tries miss a target with a free one in 1 of 11 requests, where one try does in 1 of 3.
     */
    static final int NO_WAIT_ATTEMPTS = 2;

    /** Further attempts that wait while they can be of full use; the next ones wait to the end. */
    static final int SOFT_DEADLINE_ATTEMPTS = 2;

    private final EntryContext mContext;
    private final Supplier<ServiceTable> mTable;
    private final boolean mIdempotent;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mBusy = new HashSet<>();
    private final Map<String, Candidate> mSuspects = new HashMap<>();
    private Candidate mLastCandidate;
    private int mBusyRefusals;
    private boolean mLastResort;

    /**
     * Creates the choice of one request.
     *
     * @param table the service as it is now: a request lives for seconds, and a target that began
     *     to leave since it came would only refuse it, one hop and some milliseconds later
     */
    TargetSelector(EntryContext context, Supplier<ServiceTable> table, boolean repeatable) {
        mContext = context;
        mTable = table;
        mIdempotent = repeatable;
    }

    /** Returns whether the present attempt takes the risk of a target thought to be sick. */
    boolean isLastResort() {
        return mLastResort;
    }

    /** Returns whether the present attempt may wait for a slot. */
    QueueingPolicy queueingPolicy() {
        if (mContext.targetAccess() != EntryOptions.TargetAccess.GUARDS_ONLY || mLastResort) {
            return QueueingPolicy.MAY_WAIT;
        }
        if (mBusyRefusals < NO_WAIT_ATTEMPTS) {
            return QueueingPolicy.NO_WAIT;
        }
        boolean seeksUse = mBusyRefusals < NO_WAIT_ATTEMPTS + SOFT_DEADLINE_ATTEMPTS;
        return seeksUse ? QueueingPolicy.WHILE_USEFUL : QueueingPolicy.MAY_WAIT;
    }

    /**
     * Returns the target of the next attempt, or nothing if none is left.
     *
     * @param last how the attempt before ended; null before the first
     */
    Optional<Candidate> next(Outcome last) {
        recordOutcome(last);
        Optional<Candidate> choice = choose(last);
        while (choice.isPresent() && isGuardUnreachable(choice.get())) {
            mTried.add(choice.get().target().id());
            choice = choose(last);
        }
        choice.ifPresent(candidate -> mTried.add(candidate.target().id()));
        mLastCandidate = choice.orElse(null);
        return choice;
    }

    private void recordOutcome(Outcome last) {
        if (mLastCandidate == null) {
            return;
        }
        String id = mLastCandidate.target().id();
        if (last instanceof Outcome.NotRun notRun && notRun.reason() == NotRunReason.BUSY) {
            mBusy.add(id);
            mBusyRefusals++;
        }
        if (isSuspect(last)) {
            mSuspects.put(id, mLastCandidate);
        }
        if (mBusyRefusals == NO_WAIT_ATTEMPTS
                || mBusyRefusals == NO_WAIT_ATTEMPTS + SOFT_DEADLINE_ATTEMPTS) {
            // From now on it waits longer, and the targets that were busy are as good as any.
            mTried.removeAll(mBusy);
            mBusy.clear();
        }
    }

    private boolean isSuspect(Outcome last) {
        if (last instanceof Outcome.NotRun notRun) {
            return notRun.reason() == NotRunReason.TARGET_SUSPECT;
        }
        return mIdempotent && last instanceof Outcome.Unknown;
    }

    // Sent to a guard that has just refused connections, a request would use up its attempts there
    // while other targets idle.
    private boolean isGuardUnreachable(Candidate candidate) {
        return mContext.targetAccess() == EntryOptions.TargetAccess.GUARDS_ONLY
                && !mContext.hasReachableGuard(candidate)
                && !mTried.contains(candidate.target().id());
    }

    private Optional<Candidate> choose(Outcome last) {
        if (mTried.isEmpty() && mIdempotent) {
            Optional<Candidate> probe =
                    mContext.probes()
                            .tryAcquire(mTable.get().service().id())
                            .flatMap(this::currentCandidate);
            if (probe.isPresent()) {
                return probe;
            }
        }
        Optional<Candidate> untried = balance(mTried);
        if (untried.isPresent()) {
            return untried;
        }
        if (mayReachOnRetry(last)) {
            // The only targets left are those whose path failed, or whose guard had not read the
            // body in time; a new attempt may reach them.
            return balance(Set.of());
        }
        return leastDegraded();
    }

    // Where every target is suspect, refusing the request would be worse than the risk of the best.
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

    private Optional<Candidate> balance(Set<String> except) {
        return BalancingPolicy.choose(
                mTable.get(), except, ThreadLocalRandom.current(), mContext.ticker().nanos());
    }

    private static boolean mayReachOnRetry(Outcome last) {
        if (last instanceof Outcome.NotRun notRun) {
            return notRun.reason() == NotRunReason.FENCED
                    || notRun.reason() == NotRunReason.GUARD_RESTARTED
                    || notRun.reason() == NotRunReason.NEVER_SENT
                    || notRun.reason() == NotRunReason.BODY_UNREAD;
        }
        return last instanceof Outcome.Unknown;
    }
}
