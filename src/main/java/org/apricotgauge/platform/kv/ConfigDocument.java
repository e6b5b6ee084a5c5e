package org.apricotgauge.platform.kv;

import java.util.List;

/**
 * The configuration as the operator publishes it.
 *
 * @param version its version, a letter and a number
 * @param baseVersion the version that it was made from
 * @param services the services
 * @param limits bounds on callers
 * @param hosts the routes, by host
 * @param tenants the members; null if requests need no keys, which an empty list doesn't mean
 */
record ConfigDocument(
        String version,
        String baseVersion,
        List<ServiceLine> services,
        Limits limits,
        List<HostLine> hosts,
        List<TenantLine> tenants) {

    /** A service; its health path is not used, since real work is the evidence. */
    record ServiceLine(String name) {}

    /**
     * Bounds on callers.
     *
     * @param idleTimeoutMs how long a connection may stay unused
     */
    record Limits(long idleTimeoutMs) {}

    /** The routes of one host. */
    record HostLine(String host, List<RouteLine> paths) {}

    /**
     * A route.
     *
     * @param kind {@code idempotent}, or whatever else for what runs once at most
     * @param timeoutMs longest time that the operator wants a request kept waiting
     * @param targetLatencyMs time within which an answer is worth most
     * @param priority rank, 0 the most urgent
     * @param service the service that answers, unless {@code weightedServices} share the requests
     * @param maxAttempts most targets that may run one request
     * @param publicAccess whether its requests need no key
     */
    record RouteLine(
            String name,
            String pathPrefix,
            String kind,
            long timeoutMs,
            Long targetLatencyMs,
            int priority,
            String service,
            List<WeightLine> weightedServices,
            Integer maxAttempts,
            Boolean publicAccess) {}

    /**
     * A member.
     *
     * @param apiKeys keys that its requests carry
     * @param priority rank of its requests, 0 the most urgent; null for that of their routes
     * @param requestsPerS most requests a second; 0 or null for no bound
     * @param burst requests that it may save up
     */
    record TenantLine(
            String name,
            List<String> apiKeys,
            Integer priority,
            Double requestsPerS,
            Double burst) {}

    /** A service's part of a route. */
    record WeightLine(String service, int weight) {}
}
