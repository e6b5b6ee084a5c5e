package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Target;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A snapshot of everything that is needed to route a request; each request reads it once.
 *
 * <pre>{@code
 * RoutingTable table = reference.get();
 * Optional<Route> route = table.routes().find(host, path);
 * }</pre>
 *
 * <p>Immutable; replaced as a whole through an atomic reference (read-copy-update).
 */
public final class RoutingTable {
    /** A table without routes, as used by a node that has no configuration yet. */
    public static final RoutingTable EMPTY =
            new RoutingTable(
                    0, Configuration.EMPTY, RouteIndex.of(List.of()), HashTreePMap.empty());

    private final long mVersion;
    private final Configuration mConfiguration;
    private final RouteIndex mRoutes;
    private final PMap<String, ServiceTable> mServices;

    /** Creates a table from its parts. */
    public RoutingTable(
            long version,
            Configuration configuration,
            RouteIndex routes,
            PMap<String, ServiceTable> services) {
        mVersion = version;
        mConfiguration = Checks.notNull("configuration", configuration);
        mRoutes = Checks.notNull("routes", routes);
        mServices = Checks.notNull("services", services);
    }

    /** Returns the version of the configuration from which the table was built. */
    public long version() {
        return mVersion;
    }

    /** Returns the configuration from which the table was built. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the routes. */
    public RouteIndex routes() {
        return mRoutes;
    }

    /** Returns the tables of the services by service id. */
    public PMap<String, ServiceTable> services() {
        return mServices;
    }

    /** Returns the table of one service, or empty if there is no such service. */
    public Optional<ServiceTable> service(String id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns whether a target accepts new requests: it is neither leaving nor removed. */
    public boolean acceptsRequests(Target target) {
        return service(target.service())
                .flatMap(service -> service.candidate(target.id()))
                .isPresent();
    }

    /** Returns the configured target, or null if there is none with this id. */
    public Target target(String id) {
        return mConfiguration.target(id);
    }

    /** Returns a copy of this table with one service replaced. */
    public RoutingTable withService(ServiceTable service) {
        return new RoutingTable(
                mVersion, mConfiguration, mRoutes, mServices.plus(service.service().id(), service));
    }
}
