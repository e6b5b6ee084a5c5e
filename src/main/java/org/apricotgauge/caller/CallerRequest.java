package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.IdempotentHeader;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Route;
import org.eclipse.jetty.http.HttpFields;

/**
 * The parameters of a caller's request, parsed once from its head.
 *
 * @param route the route that it matches
 * @param requester the member that sent it, or an anonymous one
 * @param priority its priority, from the requester or the route
 * @param timeoutMillis total time allowed, in milliseconds
 * @param idempotent whether it may run more than once
 * @param key its Idempotency-Key, if it has one
 */
record CallerRequest(
        Route route,
        Requester requester,
        Priority priority,
        long timeoutMillis,
        boolean idempotent,
        Optional<IdempotencyKey> key) {

    /**
     * Parses the head of a request.
     *
     * @throws IllegalArgumentException naming the header that is at fault
     */
    static CallerRequest of(
            String method,
            HttpFields headers,
            Route route,
            Requester requester,
            SiteDialect dialect) {
        IdempotentHeader idempotentHeader =
                IdempotentHeader.parse(headers.get(IdempotentHeader.HEADER));
        return new CallerRequest(
                route,
                requester,
                requester.priorityOr(route.priority()),
                timeoutOf(headers, route, dialect),
                RetryPolicy.isIdempotent(method, route.repeatability(), idempotentHeader),
                keyOf(headers, route, requester.memberId()));
    }

    String memberId() {
        return requester.memberId();
    }

    private static long timeoutOf(HttpFields headers, Route route, SiteDialect dialect) {
        return Math.min(
                route.deadlineMillis(),
                dialect.timeoutMillis(headers).orElse(route.deadlineMillis()));
    }

    private static Optional<IdempotencyKey> keyOf(
            HttpFields headers, Route route, String memberId) {
        String value = headers.get(IdempotencyKey.HEADER);
        if (value == null) {
            return Optional.empty();
        }
        Optional<IdempotencyKey> key = IdempotencyKey.parse(route.service(), memberId, value);
        if (key.isEmpty()) {
            throw new IllegalArgumentException(
                    IdempotencyKey.HEADER + " must be 1 to 128 visible characters");
        }
        return key;
    }
}
