package org.apricotgauge.http;

import java.util.Locale;
import java.util.Optional;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes an outcome without a target's response as an HTTP response, and reads it back.
 *
 * <pre>{@code
 * OutcomeCodec.write(response, callback, new Outcome.NotRun(NotRunReason.QUEUE_FULL, 250));
 * Optional<Outcome> outcome = OutcomeCodec.read(guardResponse.getHeaders());
 * }</pre>
 *
 * <p>Not run is 503, or 429 where the member is over its limit, with {@code Retry-After} (RFC 9110
 * section 10.2.3); unknown is 504. The header {@link HeaderNames#OUTCOME} distinguishes the two
 * from a target's own 503 or 504, since it is removed from every response of a target.
 */
public final class OutcomeCodec {
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private OutcomeCodec() {}

    /** Writes the outcome as the final response, in the fleet's own header convention. */
    public static void write(Response response, Callback callback, Outcome outcome) {
        write(response, callback, outcome, FleetDialect.INSTANCE);
    }

    /** Writes the outcome as the final response. */
    public static void write(
            Response response, Callback callback, Outcome outcome, SiteDialect dialect) {
        HttpFields.Mutable headers = response.getHeaders();
        int status = addHeaders(outcome, headers, dialect);
        String text =
                headers.get(HeaderNames.OUTCOME) + ": " + headers.get(HeaderNames.REASON) + '\n';
        Bodies.writeText(response, callback, status, text);
    }

    /**
     * Adds the headers of an outcome, in the fleet's own header convention.
     *
     * @return the status
     */
    public static int addHeaders(Outcome outcome, HttpFields.Mutable headers) {
        return addHeaders(outcome, headers, FleetDialect.INSTANCE);
    }

    private static int addHeaders(
            Outcome outcome, HttpFields.Mutable headers, SiteDialect dialect) {
        if (outcome instanceof Outcome.NotRun notRun) {
            addNotRun(notRun, headers, dialect);
            return notRun.reason() == NotRunReason.OVER_LIMIT
                    ? HttpStatus.TOO_MANY_REQUESTS_429
                    : HttpStatus.SERVICE_UNAVAILABLE_503;
        }
        if (outcome instanceof Outcome.Unknown unknown) {
            headers.put(HeaderNames.OUTCOME, HeaderNames.OUTCOME_UNKNOWN);
            headers.put(HeaderNames.REASON, wireName(unknown.reason()));
            return HttpStatus.GATEWAY_TIMEOUT_504;
        }
        throw new IllegalArgumentException("an answer is forwarded: " + outcome);
    }

    private static void addNotRun(
            Outcome.NotRun outcome, HttpFields.Mutable headers, SiteDialect dialect) {
        // Without a delay the caller would retry at once, into the same overload.
        long retryAfterMillis =
                outcome.retryAfterMillis() > 0
                        ? outcome.retryAfterMillis()
                        : DEFAULT_RETRY_AFTER_MILLIS;
        if (outcome.retryAfterMillis() > 0) {
            headers.put(HeaderNames.RETRY_AFTER_MILLIS, outcome.retryAfterMillis());
        }
        headers.put(HttpHeader.RETRY_AFTER, dialect.retryAfter(retryAfterMillis));
        headers.put(HeaderNames.OUTCOME, HeaderNames.OUTCOME_NOT_RUN);
        headers.put(HeaderNames.REASON, wireName(outcome.reason()));
    }

    /** Writes that the request may have run, for one that failed at an unknown point. */
    public static void writeStarted(Response response, Callback callback) {
        write(response, callback, new Outcome.Unknown(UnknownReason.STARTED));
    }

    /** Reads the outcome that a guard wrote; empty if the response is the target's. */
    public static Optional<Outcome> read(HttpFields headers) {
        String outcome = headers.get(HeaderNames.OUTCOME);
        if (outcome == null) {
            return Optional.empty();
        }
        String reason = headers.get(HeaderNames.REASON);
        if (!HeaderNames.OUTCOME_NOT_RUN.equals(outcome)) {
            return Optional.of(
                    new Outcome.Unknown(
                            parseReason(UnknownReason.class, reason, UnknownReason.FORGOTTEN)));
        }
        long retryAfterMillis = Math.max(0, headers.getLongField(HeaderNames.RETRY_AFTER_MILLIS));
        // A newer guard may send a reason that this release does not know; "not run" still holds.
        return Optional.of(
                new Outcome.NotRun(
                        parseReason(NotRunReason.class, reason, NotRunReason.FENCED),
                        retryAfterMillis));
    }

    private static String wireName(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> E parseReason(Class<E> type, String name, E defaultReason) {
        if (name == null) {
            return defaultReason;
        }
        for (E constant : type.getEnumConstants()) {
            if (wireName(constant).equals(name)) {
                return constant;
            }
        }
        return defaultReason;
    }
}
