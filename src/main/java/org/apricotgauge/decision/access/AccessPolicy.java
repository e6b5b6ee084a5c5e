package org.apricotgauge.decision.access;

import java.util.Optional;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;

/**
 * Decides whether a request is allowed, by its API key.
 *
 * <pre>{@code
 * Access access = AccessPolicy.decide(table.configuration(), route, credentials);
 * }</pre>
 *
 * <p>If the site has no API keys, every request is allowed. Otherwise a request needs a key unless
 * its route is open, also when no member has a key any longer. An unknown key is denied on open
 * routes too: its caller assumes that it is a member, and would otherwise be served as an anonymous
 * caller. Called for each request, so that a removed key stops working on connections that are
 * already open.
 */
public final class AccessPolicy {

    private AccessPolicy() {}

    /** Decides on one request. */
    public static Access decide(Configuration configuration, Route route, Credentials credentials) {
        if (!configuration.authenticatesByKey()) {
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
