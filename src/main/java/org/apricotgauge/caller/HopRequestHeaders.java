package org.apricotgauge.caller;

import java.util.Locale;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;

/** Writes what an entry says about an attempt in the headers of the hop to the guard. */
final class HopRequestHeaders {

    private HopRequestHeaders() {}

    /**
     * Returns the caller's headers with those of the hop.
     *
     * @param remainingMillis time left until the request's deadline, in milliseconds
     */
    static HttpFields.Mutable create(
            CallerExchange exchange, Candidate candidate, Attempt attempt, long remainingMillis) {
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(exchange.request().getHeaders(), headers);
        exchange.callerRequest().requester().removeCredentials(headers);
        headers.put(Attempt.HEADER, attempt.toString());
        headers.put(HeaderNames.TARGET, candidate.target().id());
        headers.put(HeaderNames.MEMBER, exchange.callerRequest().memberId());
        headers.put(HeaderNames.TIMEOUT_MILLIS, remainingMillis);
        headers.put(HeaderNames.PRIORITY, nameOf(exchange.callerRequest().priority()));
        headers.put(HeaderNames.TARGET_RESTRICTION, nameOf(exchange.targetRestriction()));
        candidate
                .load()
                .startLimit()
                .ifPresent(limit -> headers.put(HeaderNames.TARGET_LIMIT, limit.toText()));
        if (exchange.callerRequest().idempotent()) {
            headers.put(HeaderNames.RETRY_BESIDE, "1");
        }
        addQueueingHeaders(exchange, headers);
        addRetryHeaders(exchange, headers);
        exchange.context().dialect().addOriginHeaders(headers);
        return headers;
    }

    private static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void addQueueingHeaders(CallerExchange exchange, HttpFields.Mutable headers) {
        QueueingPolicy queueingPolicy = exchange.queueingPolicy();
        if (queueingPolicy != QueueingPolicy.MAY_WAIT) {
            headers.put(HeaderNames.QUEUEING_POLICY, nameOf(queueingPolicy));
        }
        headers.put(
                HeaderNames.SOFT_DEADLINE_MILLIS,
                Math.max(0, exchange.deadline().softRemainingMillis()));
    }

    private static void addRetryHeaders(CallerExchange exchange, HttpFields.Mutable headers) {
        boolean parentIsRetry =
                exchange.parentId().filter(exchange.context().observer()::isRetry).isPresent();
        if (exchange.parentId().isPresent()) {
            headers.put(HeaderNames.NESTED_CALL, "1");
        }
        if (exchange.retryState().isRetry()) {
            headers.put(
                    HeaderNames.RETRY,
                    exchange.retryState().isRetryPrepaid()
                            ? HeaderNames.RETRY_PREPAID
                            : HeaderNames.RETRY_OF_REQUEST);
        } else if (parentIsRetry) {
            headers.put(HeaderNames.RETRY, HeaderNames.RETRY_OF_PARENT);
        }
    }
}
