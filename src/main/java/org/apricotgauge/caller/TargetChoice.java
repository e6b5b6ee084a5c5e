package org.apricotgauge.caller;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apricotgauge.decision.admission.Patience;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.decision.routing.BalancingPolicy;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;

/**
 * Chooses the targets of one request's attempts, one after the other.
 *
 * <p>The first attempts look for a free slot and wait nowhere for long. The next ones wait at a
 * target as long as the answer can be of full use, the last ones to the deadline, also at targets
 * that were too busy before. While all that is left is suspect, the request is parked until one is
 * proven healthy; when half of its time is gone, it goes to the target that is the least likely to
 * be sick. Used by one exchange, whose attempts follow each other; not thread-safe beyond that.
 */
final class TargetChoice {
    /**
     * Attempts that look for a free slot. With two thirds of all slots busy, three slots each, two
     * tries miss a target with a free one in 1 of 11 requests, where one try does in 1 of 3.
     */
    static final int LOOKING_ATTEMPTS = 2;

    /** Further attempts that wait while they can be of full use; the next ones wait to the end. */
    static final int USEFUL_ATTEMPTS = 2;

    /**
     * Attempts that would wait to the end; who is turned away by so many more is told at once that
     * there is no room, in place of asking the rest of a service that is full.
     */
    static final int LATE_ATTEMPTS = 3;

    /** Guards that are asked for a retry before the request waits for one. */
    private static final int SPENT_ATTEMPTS = 2;

    /** Pause of a parked request before it asks again, in milliseconds; news takes as long. */
    static final long PARK_MILLIS = 40;

    /** A request is parked until this part of its time of full use is left to it. */
    private static final long PARK_PART = 2;

    /** What a hop to another target is worth, as a difference in the probability of sickness. */
    private static final double HOP_WORTH = 0.05;

    /** Below this no target is refused: news of a target is some 0.2 s old. */
    private static final double LEAST_SICK_LIMIT = 0.1;

    private final EntryContext mContext;
    private final ServiceTable mTable;
    private final boolean mRepeatable;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mBusy = new HashSet<>();
    private final Set<String> mSuspects = new HashSet<>();
    private Candidate mLast;
    private long mUsefulMillis;
    private boolean mParked;
    private int mRefusedBusy;
    private int mRefusedSpent;
    private boolean mLastResort;

    TargetChoice(EntryContext context, ServiceTable table, boolean repeatable) {
        mContext = context;
        mTable = table;
        mRepeatable = repeatable;
    }

    /** Returns whether the present attempt takes the risk of a target thought to be sick. */
    boolean isLastResort() {
        return mLastResort;
    }

    /** Returns whether the present attempt may wait for a slot. */
    Patience patience() {
        if (mContext.reach() != EntryOptions.Reach.GUARDS_ONLY || mLastResort) {
            return Patience.MAY_WAIT;
        }
        if (mRefusedBusy < LOOKING_ATTEMPTS) {
            return Patience.SHORT_WAIT;
        }
        boolean seeksUse = mRefusedBusy < LOOKING_ATTEMPTS + USEFUL_ATTEMPTS;
        return seeksUse ? Patience.WHILE_USEFUL : Patience.MAY_WAIT;
    }

    /**
     * Returns the target of the next attempt, or nothing if none is left or the request is to wait;
     * see {@link #isParked}.
     *
     * @param last how the attempt before ended; null before the first
     * @param caution how much of a risk the attempt may run
     * @param usefulMillis time left in which an answer is of full use, in milliseconds
     */
    Optional<Candidate> next(Outcome last, HealthGate.Caution caution, long usefulMillis) {
        takeIn(last);
        mUsefulMillis = Math.max(mUsefulMillis, usefulMillis);
        mParked = false;
        if (mRefusedSpent > SPENT_ATTEMPTS
                || mRefusedBusy >= LOOKING_ATTEMPTS + USEFUL_ATTEMPTS + LATE_ATTEMPTS) {
            // Told by guards where it might have waited: no retry, or no slot, comes in time.
            return Optional.empty();
        }
        Optional<Candidate> choice = chooseOpen(last, caution);
        if (choice.isEmpty() && goBackToBusy()) {
            choice = chooseOpen(last, caution);
        }
        mParked = choice.isEmpty() && mayPark(usefulMillis);
        if (mParked) {
            mTried.removeAll(mSuspects);
            mSuspects.clear();
        } else if (choice.isEmpty()) {
            choice = leastSick();
        }
        choice.ifPresent(candidate -> mTried.add(candidate.target().id()));
        mLast = choice.orElse(null);
        return choice;
    }

    /** Returns whether the present attempt may wait until its guard's retries allow it. */
    boolean mayWaitForRetries() {
        return mRefusedSpent >= SPENT_ATTEMPTS;
    }

    /** Returns whether the request is to ask again in {@link #PARK_MILLIS}. */
    boolean isParked() {
        return mParked;
    }

    private Optional<Candidate> chooseOpen(Outcome last, HealthGate.Caution caution) {
        Optional<Candidate> choice = choose(last, caution);
        while (choice.isPresent() && isShut(choice.get())) {
            mTried.add(choice.get().target().id());
            choice = choose(last, caution);
        }
        return choice;
    }

    // With all others suspect, a request that has found the one healthy target busy once is better
    // off in its queue than at a target that fails nine requests of ten.
    private boolean goBackToBusy() {
        if (mBusy.isEmpty() || mRefusedBusy >= LOOKING_ATTEMPTS + USEFUL_ATTEMPTS) {
            return false;
        }
        mRefusedBusy =
                mRefusedBusy < LOOKING_ATTEMPTS
                        ? LOOKING_ATTEMPTS
                        : LOOKING_ATTEMPTS + USEFUL_ATTEMPTS;
        mTried.removeAll(mBusy);
        mBusy.clear();
        return true;
    }

    // Any of the suspect targets may be well again in a moment, which its guard tells at once. A
    // request that is sent to one before loses the most that it can lose; one that waits for half
    // of its time of full use still has the other half for its run.
    private boolean mayPark(long usefulMillis) {
        return mContext.reach() == EntryOptions.Reach.GUARDS_ONLY
                && !mLastResort
                && usefulMillis > mUsefulMillis / PARK_PART
                && mTable.all().stream().anyMatch(this::isSuspect);
    }

    private boolean isSuspect(Candidate candidate) {
        return candidate.isEligible()
                && candidate.load().sick(mContext.ticker().nanos()) >= HealthGate.UNSTEADY;
    }

    private void takeIn(Outcome last) {
        if (mLast == null) {
            return;
        }
        String id = mLast.target().id();
        if (last instanceof Outcome.NotRun notRun && notRun.reason() == NotRunReason.BUSY) {
            mBusy.add(id);
            mRefusedBusy++;
        }
        if (last instanceof Outcome.NotRun notRun
                && notRun.reason() == NotRunReason.TARGET_SUSPECT) {
            mSuspects.add(id);
        }
        if (last instanceof Outcome.NotRun notRun
                && notRun.reason() == NotRunReason.RETRIES_SPENT) {
            mRefusedSpent++;
        }
        if (mRefusedBusy == LOOKING_ATTEMPTS
                || mRefusedBusy == LOOKING_ATTEMPTS + USEFUL_ATTEMPTS) {
            // From now on it waits longer, and the targets that were busy are as good as any.
            mTried.removeAll(mBusy);
            mBusy.clear();
        }
    }

    // Sent to a guard that has just refused connections, a request would use up its attempts there
    // while other targets idle.
    private boolean isShut(Candidate candidate) {
        return isUnreachable(candidate) && !mTried.contains(candidate.target().id());
    }

    private boolean isUnreachable(Candidate candidate) {
        return mContext.reach() == EntryOptions.Reach.GUARDS_ONLY
                && !mContext.hasGuardUp(candidate);
    }

    private Optional<Candidate> choose(Outcome last, HealthGate.Caution caution) {
        if (mTried.isEmpty() && mRepeatable) {
            Optional<Candidate> probe =
                    mContext.probes().take(mTable.service().id()).flatMap(mTable::candidate);
            if (probe.isPresent()) {
                return probe;
            }
        }
        Optional<Candidate> untried =
                caution == HealthGate.Caution.STEADY
                        ? BalancingPolicy.chooseSteady(
                                mTable,
                                mTried,
                                ThreadLocalRandom.current(),
                                mContext.ticker().nanos())
                        : balance(mTried);
        if (untried.isPresent()) {
            return untried;
        }
        // The only targets left are those whose path failed; a new connection may reach them.
        return isPathAtFault(last) ? balance(Set.of()) : Optional.empty();
    }

    // Where every target is suspect, refusing the request would be worse than the risk of the best.
    private Optional<Candidate> leastSick() {
        if (mLastResort) {
            return Optional.empty();
        }
        long nowNanos = mContext.ticker().nanos();
        Optional<Candidate> best =
                mTable.all().stream()
                        .filter(one -> one.isEligible() && !isUnreachable(one))
                        .filter(this::isSuspectOrUntried)
                        .min(Comparator.comparingDouble(one -> one.load().sick(nowNanos)));
        mLastResort = best.isPresent();
        return best;
    }

    private boolean isSuspectOrUntried(Candidate candidate) {
        String id = candidate.target().id();
        return mSuspects.contains(id) || !mTried.contains(id);
    }

    /**
     * Returns from which probability of sickness on the present target shall refuse the request.
     *
     * <p>A refusal costs a hop of some milliseconds, a sick target the request. So the guard, which
     * knows its target better than this entry does, refuses what is better off at the next best
     * target that the entry knows of.
     */
    double sickLimit() {
        long nowNanos = mContext.ticker().nanos();
        double next =
                mTable.all().stream()
                        .filter(one -> one.isEligible() && !mTried.contains(one.target().id()))
                        .mapToDouble(one -> one.load().sick(nowNanos))
                        .min()
                        .orElse(1);
        return Math.min(1, Math.max(LEAST_SICK_LIMIT, next + HOP_WORTH));
    }

    private Optional<Candidate> balance(Set<String> except) {
        return BalancingPolicy.choose(
                mTable, except, ThreadLocalRandom.current(), mContext.ticker().nanos());
    }

    private static boolean isPathAtFault(Outcome last) {
        if (last instanceof Outcome.NotRun notRun) {
            return notRun.reason() == NotRunReason.FENCED
                    || notRun.reason() == NotRunReason.GUARD_RESTARTED
                    || notRun.reason() == NotRunReason.NEVER_SENT;
        }
        return last instanceof Outcome.Unknown;
    }
}
