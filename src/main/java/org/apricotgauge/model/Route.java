package org.apricotgauge.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * Which requests go to which service, and how they are treated.
 *
 * @param id name of the route
 * @param host host name the route serves, lower case; "*" for any
 * @param pathPrefix leading segments of the path, starting with a slash; the longest match wins,
 *     and one that ends with a slash does not cover the path without it
 * @param service the service that answers
 * @param priority how long its callers can wait
 * @param repeatability whether its requests may run more than once
 * @param deadlineMillis how long a request may take in all, in milliseconds, unless the caller asks
 *     for less
 * @param split services that share the requests by weight, {@code service} the first of them; null
 *     if {@code service} answers all
 * @param maxRuns most targets that may run one request; null for the fleet's own bound
 * @param targetLatencyMillis time within which an answer is worth most to its caller, in
 *     milliseconds; null if the operator named none
 * @param openAccess whether requests need no API key; null for no
 */
public record Route(
        String id,
        String host,
        String pathPrefix,
        String service,
        Priority priority,
        Repeatability repeatability,
        long deadlineMillis,
        List<ServiceShare> split,
        Integer maxRuns,
        Long targetLatencyMillis,
        Boolean openAccess) {
    /** The longest deadline that a route may set, in milliseconds. */
    public static final long MAX_DEADLINE_MILLIS = 600_000;

    private static final int MAX_SPLIT = 64;
    private static final int MAX_RUNS = 100;

    /** The host that stands for any host. */
    public static final String ANY_HOST = "*";

    /** Checks the parts. */
    @JsonCreator
    public Route {
        Checks.id("route.id", id);
        Checks.notBlank("route.host", host);
        if (!host.equals(host.toLowerCase(Locale.ROOT))) {
            throw new IllegalArgumentException(
                    "route.host must be lower case, was \"" + host + '"');
        }
        Checks.notBlank("route.pathPrefix", pathPrefix);
        if (!pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException(
                    "route.pathPrefix must start with '/', was \"" + pathPrefix + '"');
        }
        Checks.id("route.service", service);
        Checks.notNull("route.priority", priority);
        Checks.notNull("route.repeatability", repeatability);
        Checks.inRange("route.deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
        if (split != null) {
            split = List.copyOf(split);
            Checks.inRange("size of route.split", split.size(), 1, MAX_SPLIT);
            if (!split.get(0).service().equals(service)) {
                throw new IllegalArgumentException(
                        "route.split must begin with route.service, was " + split);
            }
        }
        if (maxRuns != null) {
            Checks.inRange("route.maxRuns", maxRuns, 1, MAX_RUNS);
        }
        if (targetLatencyMillis != null) {
            Checks.inRange(
                    "route.targetLatencyMillis", targetLatencyMillis, 1, MAX_DEADLINE_MILLIS);
        }
    }

    /** Creates a route to one service with the fleet's own bounds. */
    public Route(
            String id,
            String host,
            String pathPrefix,
            String service,
            Priority priority,
            Repeatability repeatability,
            long deadlineMillis) {
        this(
                id,
                host,
                pathPrefix,
                service,
                priority,
                repeatability,
                deadlineMillis,
                null,
                null,
                null,
                null);
    }

    /** Returns whether requests need no API key. */
    public boolean opensToAll() {
        return Boolean.TRUE.equals(openAccess);
    }

    /** Returns the services that answer, with the weight of each; one for an unsplit route. */
    public List<ServiceShare> shares() {
        return split == null ? List.of(new ServiceShare(service, 1)) : split;
    }

    /** Returns the most targets that may run one request, if the operator bounds them. */
    public int maxRunsOr(int otherwise) {
        return maxRuns == null ? otherwise : maxRuns;
    }

    /** Returns an equal route with the given texts in place of its own, to share memory. */
    Route withTexts(String sharedHost, String sharedService) {
        return new Route(
                id,
                sharedHost,
                pathPrefix,
                sharedService,
                priority,
                repeatability,
                deadlineMillis,
                split,
                maxRuns,
                targetLatencyMillis,
                openAccess);
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Route that
                && deadlineMillis == that.deadlineMillis
                && priority == that.priority
                && repeatability == that.repeatability
                && id.equals(that.id)
                && host.equals(that.host)
                && pathPrefix.equals(that.pathPrefix)
                && service.equals(that.service)
                && Objects.equals(split, that.split)
                && Objects.equals(maxRuns, that.maxRuns)
                && Objects.equals(targetLatencyMillis, that.targetLatencyMillis)
                && Objects.equals(openAccess, that.openAccess);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * id.hashCode() + host.hashCode()) + pathPrefix.hashCode();
    }
}
