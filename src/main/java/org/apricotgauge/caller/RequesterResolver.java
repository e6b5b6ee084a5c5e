package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.decision.access.Access;
import org.apricotgauge.decision.access.AccessPolicy;
import org.apricotgauge.http.BearerKey;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * Resolves the requester of a request from its headers.
 *
 * <pre>{@code
 * Optional<Requester> requester = resolver.resolveCaller(configuration, route, request);
 * }</pre>
 */
final class RequesterResolver {
    private final SiteDialect mDialect;
    private final RequestLog mLog;
    private final DenialCounters mDenials;

    RequesterResolver(SiteDialect dialect, RequestLog log, DenialCounters denials) {
        mDialect = dialect;
        mLog = log;
        mDenials = denials;
    }

    /**
     * Returns the requester of a caller's request; empty if the request is denied.
     *
     * @throws IllegalArgumentException naming the header that is at fault
     */
    Optional<Requester> resolveCaller(Configuration configuration, Route route, Request request) {
        HttpFields headers = request.getHeaders();
        if (!configuration.authenticatesByKey()) {
            return Optional.of(Requester.unauthenticated(mDialect.declaredMember(headers)));
        }
        Access access = AccessPolicy.decide(configuration, route, BearerKey.read(headers));
        if (access instanceof Access.Granted granted) {
            return Optional.of(Requester.authenticated(granted.member()));
        }
        Access.Reason reason = ((Access.Denied) access).reason();
        mDenials.count(reason);
        mLog.logDenied(
                mDialect.requestId(headers), route.id(), reason, Request.getRemoteAddr(request));
        return Optional.empty();
    }

    /**
     * Returns the requester of a hop; the sending entry has granted access, perhaps by another
     * configuration version.
     */
    static Optional<Requester> resolveHop(
            Configuration configuration, Route route, Request request) {
        String id = request.getHeaders().get(HeaderNames.MEMBER);
        return Optional.of(
                new Requester(
                        Optional.ofNullable(id).map(configuration::member),
                        id == null ? Member.ANONYMOUS_ID : id,
                        configuration.authenticatesByKey()));
    }
}
