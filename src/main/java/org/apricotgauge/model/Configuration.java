package org.apricotgauge.model;

import java.util.Collection;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

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

    private final TreePMap<String, Service> mServices;
    private final TreePMap<String, Target> mTargets;
    private final Index<String, Target> mTargetsByService;
    private final Index<String, Target> mTargetsByVm;
    private final TreePMap<String, Route> mRoutes;
    private final Index<String, Route> mRoutesByService;
    private final Index<RouteMatch, Route> mRoutesByMatch;
    private final TreePMap<String, Member> mMembers;
    private final HashPMap<KeyDigest, Member> mMembersByKey;
    private final boolean mRequiresKeys;

    private Configuration(Parts parts) {
        mServices = parts.mServices;
        mTargets = parts.mTargets;
        mTargetsByService = parts.mTargetsByService;
        mTargetsByVm = parts.mTargetsByVm;
        mRoutes = parts.mRoutes;
        mRoutesByService = parts.mRoutesByService;
        mRoutesByMatch = parts.mRoutesByMatch;
        mMembers = parts.mMembers;
        mMembersByKey = parts.mMembersByKey;
        mRequiresKeys = parts.mRequiresKeys;
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

    /** Returns the member that holds the key, or null if none does. */
    public Member memberOf(KeyDigest key) {
        return mMembersByKey.get(key);
    }

    /**
     * Returns whether requests are authenticated by API keys: the site requires it, or some member
     * has a key.
     *
     * <p>A site that requires keys still does once the last key has been removed; every request to
     * a route that isn't open is denied then.
     */
    public boolean authenticatesByKey() {
        return mRequiresKeys || !mMembersByKey.isEmpty();
    }

    /** Returns the settings of the whole site, or null if they are the default ones. */
    public SiteSettings siteSettings() {
        return mRequiresKeys ? new SiteSettings(true) : null;
    }

    /** Returns the number of API keys of all members. */
    public int keyCount() {
        return mMembersByKey.size();
    }

    /** Returns all services, in the order of their names. */
    public Collection<Service> services() {
        return mServices.values();
    }

    /** Returns all targets, in the order of their names. */
    public Collection<Target> targets() {
        return mTargets.values();
    }

    /** Returns the targets of one service, in the order of their names; empty if it has none. */
    public Collection<Target> targetsOf(String service) {
        return mTargetsByService.get(service);
    }

    /** Returns the targets on one VM, in the order of their names; empty if it has none. */
    public Collection<Target> targetsOn(String vm) {
        return mTargetsByVm.get(vm);
    }

    /** Returns the routes to one service, in the order of their names; empty if it has none. */
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
        return mTargetsByService.sharesGroup(other.mTargetsByService, service);
    }

    /** Returns whether the other configuration has the same routes, unchanged. */
    public boolean sharesRoutes(Configuration other) {
        return mRoutes == other.mRoutes;
    }

    /** Returns all routes, in the order of their names. */
    public Collection<Route> routes() {
        return mRoutes.values();
    }

    /** Returns all members, in the order of their names. */
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
        target = shared(target);
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
        route = shared(route);
        Parts parts = new Parts(this);
        parts.remove(mRoutes.get(route.id()));
        parts.mRoutes = mRoutes.plus(route.id(), route);
        for (ServiceShare share : route.shares()) {
            parts.mRoutesByService =
                    parts.mRoutesByService.plus(share.service(), route.id(), route);
        }
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
        parts.remove(mMembers.get(member.id()));
        parts.mMembers = mMembers.plus(member.id(), member);
        if (member.keys() != null) {
            for (KeyDigest key : member.keys()) {
                parts.mMembersByKey = parts.mMembersByKey.plus(key, member);
            }
        }
        return new Configuration(parts);
    }

    /** Returns this configuration without the member. */
    public Configuration withoutMember(String id) {
        Parts parts = new Parts(this);
        parts.remove(mMembers.get(id));
        parts.mMembers = mMembers.minus(id);
        return new Configuration(parts);
    }

    /**
     * Returns this configuration with API keys required, whether or not some member has one; if
     * false, they are required only while some member has one.
     */
    public Configuration withKeysRequired(boolean required) {
        if (required == mRequiresKeys) {
            return this;
        }
        Parts parts = new Parts(this);
        parts.mRequiresKeys = required;
        return new Configuration(parts);
    }

    /**
     * Returns an equal target that shares its texts with those already here.
     *
     * <p>Each target is read from JSON with texts of its own; at 74,000 targets those that repeat
     * take 18 MB.
     */
    private Target shared(Target target) {
        Service service = mServices.get(target.service());
        Target neighbour = first(mTargetsByVm.get(target.vm()));
        return new Target(
                target.id(),
                service == null ? target.service() : service.id(),
                neighbour == null ? target.vm() : neighbour.vm(),
                neighbour == null
                        ? target.failureDomain()
                        : same(target.failureDomain(), neighbour.failureDomain()),
                neighbour == null ? target.host() : same(target.host(), neighbour.host()),
                target.port(),
                target.slots());
    }

    private Route shared(Route route) {
        Service service = mServices.get(route.service());
        Route neighbour = first(mRoutesByService.get(route.service()));
        return route.withTexts(
                neighbour == null ? route.host() : same(route.host(), neighbour.host()),
                service == null ? route.service() : service.id());
    }

    private static <T> T first(Collection<T> entities) {
        return entities.isEmpty() ? null : entities.iterator().next();
    }

    private static String same(String text, String other) {
        return text.equals(other) ? other : text;
    }

    /** What a route matches. */
    private record RouteMatch(String host, String pathPrefix) implements Comparable<RouteMatch> {
        @Override
        public int compareTo(RouteMatch other) {
            int byHost = host.compareTo(other.host);
            return byHost != 0 ? byHost : pathPrefix.compareTo(other.pathPrefix);
        }

        static RouteMatch of(Route route) {
            return new RouteMatch(route.host(), route.pathPrefix());
        }
    }

    /** The parts of a configuration in the making; seen by one thread, for one change. */
    private static final class Parts {
        private TreePMap<String, Service> mServices = TreePMap.empty();
        private TreePMap<String, Target> mTargets = TreePMap.empty();
        private Index<String, Target> mTargetsByService = Index.empty();
        private Index<String, Target> mTargetsByVm = Index.empty();
        private TreePMap<String, Route> mRoutes = TreePMap.empty();
        private Index<String, Route> mRoutesByService = Index.empty();
        private Index<RouteMatch, Route> mRoutesByMatch = Index.empty();
        private TreePMap<String, Member> mMembers = TreePMap.empty();
        private HashPMap<KeyDigest, Member> mMembersByKey = HashTreePMap.empty();
        private boolean mRequiresKeys;

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
            mMembersByKey = from.mMembersByKey;
            mRequiresKeys = from.mRequiresKeys;
        }

        // Moved to another member by one patch, a key may be the other's by now.
        void remove(Member member) {
            if (member == null || member.keys() == null) {
                return;
            }
            for (KeyDigest key : member.keys()) {
                Member holder = mMembersByKey.get(key);
                if (holder != null && holder.id().equals(member.id())) {
                    mMembersByKey = mMembersByKey.minus(key);
                }
            }
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
            for (ServiceShare share : route.shares()) {
                mRoutesByService = mRoutesByService.minus(share.service(), route.id());
            }
            mRoutesByMatch = mRoutesByMatch.minus(RouteMatch.of(route), route.id());
        }
    }
}
