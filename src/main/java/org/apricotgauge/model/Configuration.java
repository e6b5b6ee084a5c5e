package org.apricotgauge.model;

import java.util.Collection;
import java.util.List;
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
    public static final Configuration EMPTY =
            new Configuration(
                    HashTreePMap.empty(),
                    HashTreePMap.empty(),
                    HashTreePMap.empty(),
                    HashTreePMap.empty(),
                    HashTreePMap.empty());

    private final PMap<String, Service> mServices;
    private final PMap<String, Target> mTargets;
    private final PMap<String, PMap<String, Target>> mTargetsByService;
    private final PMap<String, Route> mRoutes;
    private final PMap<String, Member> mMembers;

    private Configuration(
            PMap<String, Service> services,
            PMap<String, Target> targets,
            PMap<String, PMap<String, Target>> targetsByService,
            PMap<String, Route> routes,
            PMap<String, Member> members) {
        mServices = services;
        mTargets = targets;
        mTargetsByService = targetsByService;
        mRoutes = routes;
        mMembers = members;
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
        PMap<String, Target> targets = mTargetsByService.get(service);
        return targets == null ? List.of() : targets.values();
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
        return new Configuration(
                mServices.plus(service.id(), service),
                mTargets,
                mTargetsByService,
                mRoutes,
                mMembers);
    }

    /** Returns this configuration without the service. */
    public Configuration withoutService(String id) {
        return new Configuration(
                mServices.minus(id), mTargets, mTargetsByService, mRoutes, mMembers);
    }

    /** Returns this configuration with the target added or replaced. */
    public Configuration withTarget(Target target) {
        Configuration without = withoutTarget(target.id());
        PMap<String, Target> siblings =
                without.mTargetsByService.getOrDefault(target.service(), HashTreePMap.empty());
        return new Configuration(
                mServices,
                without.mTargets.plus(target.id(), target),
                without.mTargetsByService.plus(
                        target.service(), siblings.plus(target.id(), target)),
                mRoutes,
                mMembers);
    }

    /** Returns this configuration without the target. */
    public Configuration withoutTarget(String id) {
        Target old = mTargets.get(id);
        if (old == null) {
            return this;
        }
        PMap<String, Target> siblings = mTargetsByService.get(old.service()).minus(id);
        return new Configuration(
                mServices,
                mTargets.minus(id),
                siblings.isEmpty()
                        ? mTargetsByService.minus(old.service())
                        : mTargetsByService.plus(old.service(), siblings),
                mRoutes,
                mMembers);
    }

    /** Returns this configuration with the route added or replaced. */
    public Configuration withRoute(Route route) {
        return new Configuration(
                mServices, mTargets, mTargetsByService, mRoutes.plus(route.id(), route), mMembers);
    }

    /** Returns this configuration without the route. */
    public Configuration withoutRoute(String id) {
        return new Configuration(
                mServices, mTargets, mTargetsByService, mRoutes.minus(id), mMembers);
    }

    /** Returns this configuration with the member added or replaced. */
    public Configuration withMember(Member member) {
        return new Configuration(
                mServices,
                mTargets,
                mTargetsByService,
                mRoutes,
                mMembers.plus(member.id(), member));
    }

    /** Returns this configuration without the member. */
    public Configuration withoutMember(String id) {
        return new Configuration(
                mServices, mTargets, mTargetsByService, mRoutes, mMembers.minus(id));
    }
}
