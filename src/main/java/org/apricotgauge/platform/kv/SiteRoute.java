package org.apricotgauge.platform.kv;

import org.apricotgauge.model.Checks;

/**
 * A route that {@link KvStandin} publishes.
 *
 * @param pathPrefix path prefix of its requests
 * @param service the service that answers
 * @param isIdempotent whether a request may run more than once
 * @param timeoutMillis maximum time that a request may take
 */
public record SiteRoute(
        String pathPrefix, String service, boolean isIdempotent, long timeoutMillis) {
    private static final String TEMPLATE =
            """
            {"name":"route%s","pathPrefix":"%s","kind":"%s","timeoutMs":%d,
             "priority":0,"service":"%s","maxAttempts":3}""";

    /** Checks the parts. */
    public SiteRoute {
        Checks.notBlank("pathPrefix", pathPrefix);
        Checks.id("service", service);
        Checks.inRange("timeoutMillis", timeoutMillis, 1, Long.MAX_VALUE);
    }

    String toJson() {
        return TEMPLATE.formatted(
                pathPrefix.replace('/', '-'),
                pathPrefix,
                isIdempotent ? "idempotent" : "non_idempotent",
                timeoutMillis,
                service);
    }
}
