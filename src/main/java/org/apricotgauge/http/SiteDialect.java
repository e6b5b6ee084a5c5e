package org.apricotgauge.http;

import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/**
 * The header convention of a site's callers and targets, for what plain HTTP has no headers for.
 *
 * <pre>{@code
 * OptionalLong timeoutMillis = dialect.timeoutMillis(request.getHeaders());
 * dialect.addTargetHeaders(headers, target.id(), remainingMillis, member);
 * }</pre>
 *
 * <p>A dialect only translates names and values; it makes no decisions. {@link FleetDialect} is the
 * fleet's own.
 */
public interface SiteDialect {

    /** Relation of a target's response to its request, as read from the head of the response. */
    enum AnswerKind {
        /** The target's response to this request. */
        ANSWER,
        /** The target rejected the request because of its load and has not run it. */
        SHED,
        /** Another target has the address now; it has not run the request. */
        OTHER_TARGET,
        /**
         * A response to another request, or one without the target's mark; never to be forwarded.
         */
        MISMATCHED
    }

    /**
     * Returns how long the caller waits, in milliseconds; empty if it sent no timeout.
     *
     * @throws IllegalArgumentException if a header is invalid; the message names it
     */
    OptionalLong timeoutMillis(HttpFields headers);

    /** Returns the identifier that the caller set for its request; empty if it set none. */
    String requestId(HttpFields headers);

    /**
     * Returns the identifier of the request that a target serves while it makes this call; empty if
     * the request is not a nested call.
     */
    default Optional<String> parentId(HttpFields headers) {
        return Optional.empty();
    }

    /**
     * Sets the header that names the service on whose VM the request began, replacing any value of
     * the caller.
     */
    void addOriginHeaders(HttpFields.Mutable headers);

    /**
     * Sets the headers that a target receives with the request.
     *
     * @param targetId the only target that may run it
     * @param remainingMillis time left until the deadline, in milliseconds
     * @param member id of the member that the request belongs to; empty if it names none
     */
    void addTargetHeaders(
            HttpFields.Mutable headers,
            String targetId,
            long remainingMillis,
            Optional<String> member);

    /**
     * Returns the member that a caller declares without a key; trusted only if the site has no API
     * keys.
     *
     * @throws IllegalArgumentException if a header is invalid; the message names it
     */
    default Optional<String> declaredMember(HttpFields headers) {
        return Optional.empty();
    }

    /** Returns how a response relates to its request. */
    AnswerKind kindOf(HttpFields request, int status, HttpFields answer);

    /** Returns what a target reports about itself in a response. */
    TargetNotice noticeOf(HttpFields answer);

    /**
     * Returns the value of {@code Retry-After}.
     *
     * @param millis delay after which a caller may retry, in milliseconds, at least 1
     */
    String retryAfter(long millis);
}
