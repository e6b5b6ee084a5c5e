package org.apricotgauge.decision.access;

import java.util.Optional;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;

/**
 * Decides whether a request may come in, by the key that it brings.
 *
 * <pre>{@code
 * Access access = AccessPolicy.decide(table.configuration(), route, credentials);
 * }</pre>
 *
 * <p>A configuration in which no member has a key lets everybody in. With keys, a request needs one
 * unless its route is open. A key that nobody has is refused on open routes too: its caller
 * believes to be a member, and would be served as nobody. Asked for each request, so that a key
 * that is removed ends on connections that are open already.
 */
public final class AccessPolicy {

    private AccessPolicy() {}

    /** Decides about one request. */
    public static Access decide(Configuration configuration, Route route, Credentials credentials) {
        if (!configuration.hasKeys()) {
            return new Access.Granted(Optional.empty());
        }
        if (credentials instanceof Credentials.Key key) {
            Member member = configuration.memberOf(key.digest());
            return member == null
                    ? new Access.Denied(Access.Reason.KEY_UNKNOWN)
                    : new Access.Granted(Optional.of(member));
        }
        if (credentials instanceof Credentials.Unreadable) {
            return new Access.Denied(Access.Reason.KEY_UNREADABLE);
        }
        return route.opensToAll()
                ? new Access.Granted(Optional.empty())
                : new Access.Denied(Access.Reason.KEY_MISSING);
    }
}
