package org.apricotgauge.http;

import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/**
 * How the callers and targets of a site put into headers what plain HTTP has no words for.
 *
 * <pre>{@code
 * OptionalLong timeoutMillis = dialect.timeoutMillis(request.getHeaders());
 * dialect.towardsTarget(headers, target.id(), leftMillis, member);
 * }</pre>
 *
 * <p>A dialect names and translates; it decides nothing. {@link FleetDialect} is the fleet's own.
 */
public interface SiteDialect {

    /** What the head of a target's answer says of the request that it answers. */
    enum AnswerKind {
        /** The target's answer to this request. */
        ANSWER,
        /** The target refused the request for load and has not run it. */
        SHED,
        /** Another target has the address now; it has not run the request. */
        OTHER_TARGET,
        /** An answer to another request, or one without the target's mark; never to be passed. */
        MISMATCHED
    }

    /**
     * Returns how long the caller waits, in milliseconds; nothing if it does not say.
     *
     * @throws IllegalArgumentException naming the header that is at fault
     */
    OptionalLong timeoutMillis(HttpFields headers);

    /** Returns the identifier that the caller gave its request; empty if it gave none. */
    String requestId(HttpFields headers);

    /**
     * Returns the identifier of the request that a target serves while it makes this call; nothing
     * if the request is nobody's call.
     */
    default Optional<String> parentId(HttpFields headers) {
        return Optional.empty();
    }

    /** Writes, over whatever the caller sent, on which service's VM the request began. */
    void addOriginHeaders(HttpFields.Mutable headers);

    /**
     * Writes what a target is told beside the request.
     *
     * @param targetId the one target that may run it
     * @param leftMillis time left until the answer is of no more use, in milliseconds
     * @param member id of the member on whose behalf it comes; nothing if it names none
     */
    void addTargetHeaders(
            HttpFields.Mutable headers, String targetId, long leftMillis, Optional<String> member);

    /**
     * Returns the member that a caller names without a key; believed only where the configuration
     * holds no keys.
     *
     * @throws IllegalArgumentException naming the header that is at fault
     */
    default Optional<String> declaredMember(HttpFields headers) {
        return Optional.empty();
    }

    /** Returns what the head of an answer says. */
    AnswerKind kindOf(HttpFields request, int status, HttpFields answer);

    /** Returns what a target says of itself with an answer to this request. */
    TargetNotice noticeOf(HttpFields answer);

    /**
     * Returns the value of {@code Retry-After}.
     *
     * @param millis when a caller may come back, in milliseconds, at least 1
     */
    String retryAfter(long millis);
}
