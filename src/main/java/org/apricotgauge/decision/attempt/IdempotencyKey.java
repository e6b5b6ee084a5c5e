package org.apricotgauge.decision.attempt;

import java.util.Optional;
import java.util.regex.Pattern;
import org.apricotgauge.model.Checks;

/**
 * An Idempotency-Key scoped to a service and a member, so that their keys cannot collide.
 *
 * <pre>{@code
 * Optional<IdempotencyKey> key = IdempotencyKey.parse("orders", "firm-3", headerValue);
 * }</pre>
 *
 * @param service service that the request is for
 * @param member member that sent the request
 * @param value the header's value, without the quotes of a structured string
 */
public record IdempotencyKey(String service, String member, String value) {
    /** Header name from the IETF draft "The Idempotency-Key HTTP Header Field". */
    public static final String HEADER = "Idempotency-Key";

    private static final Pattern VALUE = Pattern.compile("[\\x21\\x23-\\x5b\\x5d-\\x7e]{1,128}");

    public IdempotencyKey {
        Checks.id("service", service);
        Checks.id("member", member);
        if (value == null || !VALUE.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "value must be 1 to 128 visible characters, was " + value);
        }
    }

    /** Parses the header's value, with or without quotes; returns empty if it is malformed. */
    public static Optional<IdempotencyKey> parse(String service, String member, String header) {
        String value = header.strip();
        if (value.length() > 1 && value.startsWith("\"") && value.endsWith("\"")) {
            value = value.substring(1, value.length() - 1);
        }
        if (!VALUE.matcher(value).matches()) {
            return Optional.empty();
        }
        return Optional.of(new IdempotencyKey(service, member, value));
    }
}
