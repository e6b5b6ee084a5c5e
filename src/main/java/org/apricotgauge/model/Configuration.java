package org.apricotgauge.model;

import java.util.Collection;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The whole configuration of a site at one version; immutable and safe to share.
 *
 * <pre>{@code
 * Configuration next = configuration.withService(service).withTarget(target);
 * }</pre>
 *
 * <p>Each change shares all that it leaves alone with the configuration it was made from
 * (persistent maps), so that one patch costs its own size at 33,000 routes and 220,000 members.
 */
public final class Configuration {
    /** The configuration that holds nothing. */
    public static final Configuration EMPTY = new Configuration(new Parts());

    private final PMap<String, Service> mServices;
    private final PMap<String, Target> mTargets;
    private final Index<String, Target> mTargetsByService;
    private final Index<String, Target> mTargetsByVm;
    private final PMap<String, Route> mRoutes;
    private final Index<String, Route> mRoutesByService;
    private final Index<RouteMatch, Route> mRoutesByMatch;
    private final PMap<String, Member> mMembers;

    private Configuration(Parts parts) {
        mServices = parts.mServices;
        mTargets = parts.mTargets;
        mTargetsByService = parts.mTargetsByService;
        mTargetsByVm = parts.mTargetsByVm;
        mRoutes = parts.mRoutes;
        mRoutesByService = parts.mRoutesByService;
        mRoutesByMatch = parts.mRoutesByMatch;
        mMembers = parts.mMembers;
    }

    /** Returns the service, or null if there is none of that name. */
    public Service service(String id) {
        return mServices.get(id);
    }

    /** Returns the target, or null if there is none of that name. */
    public Target target(String id) {
        return mTargets.get(id);
    }

    /** Returns the route, or null if there is none of that name. */
    public Route route(String id) {
        return mRoutes.get(id);
    }

    /** Returns the member, or null if the configuration does not name it. */
    public Member member(String id) {
        return mMembers.get(id);
    }

    /** Returns all services, in no order. */
    public Collection<Service> services() {
        return mServices.values();
    }

    /** Returns all targets, in no order. */
    public Collection<Target> targets() {
        return mTargets.values();
    }

    /** Returns the targets of one service, in no order; empty if it has none. */
    public Collection<Target> targetsOf(String service) {
        return mTargetsByService.get(service);
    }

    /** Returns the targets on one VM, in no order; empty if it has none. */
    public Collection<Target> targetsOn(String vm) {
        return mTargetsByVm.get(vm);
    }

    /** Returns the routes to one service, in no order; empty if it has none. */
    public Collection<Route> routesOf(String service) {
        return mRoutesByService.get(service);
    }

    /**
     * Returns the routes with exactly this host and path; a valid configuration has one at most.
     */
    public Collection<Route> routesAt(String host, String pathPrefix) {
        return mRoutesByMatch.get(new RouteMatch(host, pathPrefix));
    }

    /** Returns whether the other configuration has the same targets of the service, unchanged. */
    public boolean sharesTargets(Configuration other, String service) {
        return mTargetsByService.get(service) == other.mTargetsByService.get(service);
    }

    /** Returns whether the other configuration has the same routes, unchanged. */
    public boolean sharesRoutes(Configuration other) {
        return mRoutes == other.mRoutes;
    }

    /** Returns all routes, in no order. */
    public Collection<Route> routes() {
        return mRoutes.values();
    }

    /** Returns all members, in no order. */
    public Collection<Member> members() {
        return mMembers.values();
    }

    /** Returns this configuration with the service added or replaced. */
    public Configuration withService(Service service) {
        Parts parts = new Parts(this);
        parts.mServices = mServices.plus(service.id(), service);
        return new Configuration(parts);
    }

    /** Returns this configuration without the service. */
    public Configuration withoutService(String id) {
        Parts parts = new Parts(this);
        parts.mServices = mServices.minus(id);
        return new Configuration(parts);
    }

    /** Returns this configuration with the target added or replaced. */
    public Configuration withTarget(Target target) {
        Parts parts = new Parts(this);
        parts.remove(mTargets.get(target.id()));
        parts.mTargets = mTargets.plus(target.id(), target);
        parts.mTargetsByService =
                parts.mTargetsByService.plus(target.service(), target.id(), target);
        parts.mTargetsByVm = parts.mTargetsByVm.plus(target.vm(), target.id(), target);
        return new Configuration(parts);
    }

    /** Returns this configuration without the target. */
    public Configuration withoutTarget(String id) {
        Parts parts = new Parts(this);
        parts.remove(mTargets.get(id));
        parts.mTargets = mTargets.minus(id);
        return new Configuration(parts);
    }

    /** Returns this configuration with the route added or replaced. */
    public Configuration withRoute(Route route) {
        Parts parts = new Parts(this);
        parts.remove(mRoutes.get(route.id()));
        parts.mRoutes = mRoutes.plus(route.id(), route);
        parts.mRoutesByService = parts.mRoutesByService.plus(route.service(), route.id(), route);
        parts.mRoutesByMatch = parts.mRoutesByMatch.plus(RouteMatch.of(route), route.id(), route);
        return new Configuration(parts);
    }

    /** Returns this configuration without the route. */
    public Configuration withoutRoute(String id) {
        Parts parts = new Parts(this);
        parts.remove(mRoutes.get(id));
        parts.mRoutes = mRoutes.minus(id);
        return new Configuration(parts);
    }

    /** Returns this configuration with the member added or replaced. */
    public Configuration withMember(Member member) {
        Parts parts = new Parts(this);
        parts.mMembers = mMembers.plus(member.id(), member);
        return new Configuration(parts);
    }

    /** Returns this configuration without the member. */
    public Configuration withoutMember(String id) {
        Parts parts = new Parts(this);
        parts.mMembers = mMembers.minus(id);
        return new Configuration(parts);
    }

    /** What a route matches. */
    private record RouteMatch(String host, String pathPrefix) {
        static RouteMatch of(Route route) {
            return new RouteMatch(route.host(), route.pathPrefix());
        }
    }

    /** The parts of a configuration in the making; seen by one thread, for one change. */
    private static final class Parts {
        private PMap<String, Service> mServices = HashTreePMap.empty();
        private PMap<String, Target> mTargets = HashTreePMap.empty();
        private Index<String, Target> mTargetsByService = Index.empty();
        private Index<String, Target> mTargetsByVm = Index.empty();
        private PMap<String, Route> mRoutes = HashTreePMap.empty();
        private Index<String, Route> mRoutesByService = Index.empty();
        private Index<RouteMatch, Route> mRoutesByMatch = Index.empty();
        private PMap<String, Member> mMembers = HashTreePMap.empty();

        Parts() {}

        Parts(Configuration from) {
            mServices = from.mServices;
            mTargets = from.mTargets;
            mTargetsByService = from.mTargetsByService;
            mTargetsByVm = from.mTargetsByVm;
            mRoutes = from.mRoutes;
            mRoutesByService = from.mRoutesByService;
            mRoutesByMatch = from.mRoutesByMatch;
            mMembers = from.mMembers;
        }

        void remove(Target target) {
            if (target == null) {
                return;
            }
            mTargetsByService = mTargetsByService.minus(target.service(), target.id());
            mTargetsByVm = mTargetsByVm.minus(target.vm(), target.id());
        }

        void remove(Route route) {
            if (route == null) {
                return;
            }
            mRoutesByService = mRoutesByService.minus(route.service(), route.id());
            mRoutesByMatch = mRoutesByMatch.minus(RouteMatch.of(route), route.id());
        }
    }
}
