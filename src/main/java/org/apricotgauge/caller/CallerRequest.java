package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.RepeatHeader;
import org.apricotgauge.decision.attempt.RepeatPolicy;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Route;
import org.eclipse.jetty.http.HttpFields;

/**
 * What a caller asked for, read once from the head of the request.
 *
 * @param route the route it falls under
 * @param memberId member on whose behalf it comes
 * @param timeoutMillis time it may take in all, in milliseconds
 * @param repeatable whether it may run more than once
 * @param key its idempotency key, if it has one
 */
record CallerRequest(
        Route route,
        String memberId,
        long timeoutMillis,
        boolean repeatable,
        Optional<IdempotencyKey> key) {

    /**
     * Reads the head.
     *
     * @throws IllegalArgumentException naming the header that is at fault
     */
    static CallerRequest of(String method, HttpFields headers, Route route, SiteDialect dialect) {
        String memberId = memberOf(headers);
        RepeatHeader repeat = RepeatHeader.parse(headers.get(RepeatHeader.HEADER));
        return new CallerRequest(
                route,
                memberId,
                timeoutOf(headers, route, dialect),
                RepeatPolicy.isRepeatable(method, route.repeatability(), repeat),
                keyOf(headers, route, memberId));
    }

    private static String memberOf(HttpFields headers) {
        String member = headers.get(HeaderNames.MEMBER);
        return member == null ? Member.ANONYMOUS_ID : Checks.id(HeaderNames.MEMBER, member);
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
