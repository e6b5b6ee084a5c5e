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
 * <p>A prefix covers whole segments of a path: {@code /bookings} covers {@code /bookings} and
 * {@code /bookings/17}, not {@code /bookingsx}. A prefix that ends with a slash covers the paths
 * that begin with it, so {@code /bookings/} covers {@code /bookings/17}, not {@code /bookings}. A
 * lookup takes two hash probes for each slash of the path, regardless of the number of routes.
 * Immutable.
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
                    .merge(route.pathPrefix(), route, RouteIndex::firstById);
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
        Route route = byPrefix.get(path);
        int slash = path.lastIndexOf('/');
        while (route == null && slash >= 0) {
            route = longestAt(byPrefix, path, slash);
            slash = path.lastIndexOf('/', slash - 1);
        }
        return route;
    }

    /** Returns the route of the prefix up to a slash, or else of the one before that slash. */
    private static Route longestAt(Map<String, Route> byPrefix, String path, int slash) {
        Route withSlash = byPrefix.get(path.substring(0, slash + 1));
        return withSlash == null ? byPrefix.get(path.substring(0, slash)) : withSlash;
    }
}
