package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Target;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All that a request needs to be routed, at one moment; a request reads it once.
 *
 * <pre>{@code
 * RoutingTable table = reference.get();
 * Optional<Route> route = table.routes().find(host, path);
 * }</pre>
 *
 * <p>Immutable; swapped as a whole by an atomic reference (read-copy-update).
 */
public final class RoutingTable {
    /** A table without routes, as a node holds before it knows any configuration. */
    public static final RoutingTable EMPTY =
            new RoutingTable(
                    0, Configuration.EMPTY, RouteIndex.of(List.of()), HashTreePMap.empty());

    private final long mVersion;
    private final Configuration mConfiguration;
    private final RouteIndex mRoutes;
    private final PMap<String, ServiceTable> mServices;

    /** Creates a table of the parts. */
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

    /** Returns the version of the configuration it was made from. */
    public long version() {
        return mVersion;
    }

    /** Returns the configuration it was made from. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the routes. */
    public RouteIndex routes() {
        return mRoutes;
    }

    /** Returns the services by name. */
    public PMap<String, ServiceTable> services() {
        return mServices;
    }

    /** Returns the table of one service. */
    public Optional<ServiceTable> service(String id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns whether a target is there and takes new work: it is neither leaving nor gone. */
    public boolean acceptsRequests(Target target) {
        return service(target.service())
                .flatMap(service -> service.candidate(target.id()))
                .isPresent();
    }

    /** Returns the configured target, or null if there is none of that name. */
    public Target target(String id) {
        return mConfiguration.target(id);
    }

    /** Returns this table with one service replaced. */
    public RoutingTable withService(ServiceTable service) {
        return new RoutingTable(
                mVersion, mConfiguration, mRoutes, mServices.plus(service.service().id(), service));
    }
}
