package org.apricotgauge.model;

import java.util.Locale;

/**
 * Which requests go to which service, and how they are treated.
 *
 * @param id name of the route
 * @param host host name the route serves, lower case; "*" for any
 * @param pathPrefix leading part of the path, starting with a slash; the longest match wins
 * @param service the service that answers
 * @param priority how long its callers can wait
 * @param repeatability whether its requests may run more than once
 * @param deadlineMillis how long a request may take in all, in milliseconds, unless the caller asks
 *     for less
 */
public record Route(
        String id,
        String host,
        String pathPrefix,
        String service,
        Priority priority,
        Repeatability repeatability,
        long deadlineMillis) {
    /** The longest deadline that a route may set, in milliseconds. */
    public static final long MAX_DEADLINE_MILLIS = 600_000;

    /** The host that stands for any host. */
    public static final String ANY_HOST = "*";

    /** Checks the parts. */
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
    }
}
