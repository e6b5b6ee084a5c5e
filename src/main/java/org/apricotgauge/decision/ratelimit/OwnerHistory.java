package org.apricotgauge.decision.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.apricotgauge.model.Address;

/** The owners of members over the last changes of the fleet. Not thread-safe. */
final class OwnerHistory {
    /** Number of changes that are remembered. */
    private static final int MAX_CHANGES = 16;

    private final Deque<Period> mPeriods = new ArrayDeque<>();

    private record Period(MemberOwners owners, long sinceMillis) {}

    OwnerHistory(MemberOwners owners, long nowMillis) {
        mPeriods.push(new Period(owners, nowMillis));
    }

    void add(MemberOwners owners, long nowMillis) {
        mPeriods.push(new Period(owners, nowMillis));
        if (mPeriods.size() > MAX_CHANGES) {
            mPeriods.removeLast();
        }
    }

    MemberOwners current() {
        return mPeriods.element().owners();
    }

    /** Returns since when this node has owned the member, as far as is remembered. */
    long ownedSinceMillis(String member) {
        long sinceMillis = mPeriods.element().sinceMillis();
        for (Period period : mPeriods) {
            if (!period.owners().isOwner(member)) {
                break;
            }
            sinceMillis = period.sinceMillis();
        }
        return sinceMillis;
    }

    /** Returns how many times the member got another owner after a time. */
    int changesSince(String member, long afterMillis) {
        int changes = 0;
        Iterator<Period> periods = mPeriods.iterator();
        Period later = periods.next();
        while (periods.hasNext() && later.sinceMillis() > afterMillis) {
            Period earlier = periods.next();
            Address owner = earlier.owners().owner(member);
            changes += owner.equals(later.owners().owner(member)) ? 0 : 1;
            later = earlier;
        }
        return changes;
    }
}
