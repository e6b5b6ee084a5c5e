package org.apricotgauge.decision.ratelimit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.apricotgauge.model.Address;

/**
 * The grants of the last second, so that a request that is sent again after a lost or late response
 * gets the same tokens and not further ones. Not thread-safe.
 */
final class RecentGrants {
    private static final long RETENTION_MILLIS = 1_000;
    private static final int MAX_GRANTS = 10_000;

    private final Map<Key, Grant> mGrants = new LinkedHashMap<>();

    private record Key(Address requester, long id, String member) {}

    private record Grant(TokenGrant grant, long grantedMillis) {}

    /** Returns the grant of a request that was received before; computes it otherwise. */
    TokenGrant computeIfAbsent(
            Address requester,
            TokenMessage.Request request,
            long nowMillis,
            Supplier<TokenGrant> grants) {
        removeOld(nowMillis);
        Key key = new Key(requester, request.id(), request.member());
        Grant known = mGrants.get(key);
        if (known != null) {
            return known.grant();
        }
        TokenGrant grant = grants.get();
        mGrants.put(key, new Grant(grant, nowMillis));
        return grant;
    }

    private void removeOld(long nowMillis) {
        Iterator<Grant> oldestFirst = mGrants.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean isOld = nowMillis - oldestFirst.next().grantedMillis() > RETENTION_MILLIS;
            if (!isOld && mGrants.size() < MAX_GRANTS) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
