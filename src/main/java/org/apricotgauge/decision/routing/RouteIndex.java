package org.apricotgauge.decision.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.model.Route;

/**
 * Finds the route of a request: an exact host takes precedence over any host, then the longest path
 * prefix wins.
 *
 * <pre>{@code
 * Optional<Route> route = index.find("booking.example", "/bookings/17");
 * }</pre>
 *
 * <p>A prefix ends at a slash: {@code /bookings} covers {@code /bookings} and {@code /bookings/17},
 * not {@code /bookingsx}. A lookup takes one hash probe for each slash of the path, regardless of
 * the number of routes. Immutable.
 */
public final class RouteIndex {
    private final Map<String, Map<String, Route>> mByHostAndPrefix;

    private RouteIndex(Map<String, Map<String, Route>> byHostAndPrefix) {
        mByHostAndPrefix = byHostAndPrefix;
    }

    /**
     * Builds an index. Of two routes with the same host and prefix, the one whose id sorts first
     * wins, so that all nodes decide the same.
     */
    public static RouteIndex of(Collection<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .merge(withoutTrailingSlash(route.pathPrefix()), route, RouteIndex::firstById);
        }
        return new RouteIndex(byHost);
    }

    private static Route firstById(Route first, Route second) {
        return first.id().compareTo(second.id()) <= 0 ? first : second;
    }

    /**
     * Returns the route of a request, or empty if none matches.
     *
     * @param host host name without port, in any case; null if the request has none
     * @param path path of the request, starting with a slash
     */
    public Optional<Route> find(String host, String path) {
        Route exact = host == null ? null : longestMatch(host.toLowerCase(Locale.ROOT), path);
        return Optional.ofNullable(exact == null ? longestMatch(Route.ANY_HOST, path) : exact);
    }

    private Route longestMatch(String host, String path) {
        Map<String, Route> byPrefix = mByHostAndPrefix.get(host);
        if (byPrefix == null) {
            return null;
        }
        int end = path.length();
        while (end > 0) {
            Route route = byPrefix.get(withoutTrailingSlash(path.substring(0, end)));
            if (route != null) {
                return route;
            }
            end = path.lastIndexOf('/', end - 1);
        }
        return byPrefix.get("");
    }

    private static String withoutTrailingSlash(String prefix) {
        return prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
    }
}
