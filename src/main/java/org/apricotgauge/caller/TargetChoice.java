package org.apricotgauge.caller;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.routing.BalancingPolicy;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;

/**
 * Chooses the targets of one request's attempts, one after the other.
 *
 * <p>Used by one exchange, whose attempts follow each other; not thread-safe beyond that.
 */
final class TargetChoice {
    private final EntryContext mContext;
    private final ServiceTable mTable;
    private final boolean mRepeatable;
    private final Set<String> mTried = new HashSet<>();

    TargetChoice(EntryContext context, ServiceTable table, boolean repeatable) {
        mContext = context;
        mTable = table;
        mRepeatable = repeatable;
    }

    /**
     * Returns the target of the next attempt, or nothing if none is left.
     *
     * @param last how the attempt before ended; null before the first
     */
    Optional<Candidate> next(Outcome last) {
        Optional<Candidate> choice = choose(last);
        while (choice.isPresent() && isShut(choice.get())) {
            mTried.add(choice.get().target().id());
            choice = choose(last);
        }
        choice.ifPresent(candidate -> mTried.add(candidate.target().id()));
        return choice;
    }

    // Sent to a guard that has just refused connections, a request would use up its attempts there
    // while other targets idle.
    private boolean isShut(Candidate candidate) {
        return mContext.reach() == EntryOptions.Reach.GUARDS_ONLY
                && !mContext.hasGuardUp(candidate)
                && !mTried.contains(candidate.target().id());
    }

    private Optional<Candidate> choose(Outcome last) {
        if (mTried.isEmpty() && mRepeatable) {
            Optional<Candidate> probe =
                    mContext.probes().take(mTable.service().id()).flatMap(mTable::candidate);
            if (probe.isPresent()) {
                return probe;
            }
        }
        Optional<Candidate> untried = balance(mTried);
        if (untried.isPresent() || !isPathAtFault(last)) {
            return untried;
        }
        // The only targets left are those whose path failed; a new connection may reach them.
        return balance(Set.of());
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
