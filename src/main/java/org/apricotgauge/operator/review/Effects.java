package org.apricotgauge.operator.review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apricotgauge.config.EntityKind;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Target;

/**
 * What a patch does to those who use the site.
 *
 * @param services the services touched, themselves or through a target or route
 * @param targets names of the targets touched
 * @param members names of the members touched
 * @param routesWithoutTargets names of the routes whose service has no target after the patch,
 *     though it had one, or the route is new
 * @param endsKeyAccess whether requests need an API key before the patch and none after it
 */
record Effects(
        List<ServiceEffect> services,
        List<String> targets,
        List<String> members,
        List<String> routesWithoutTargets,
        boolean endsKeyAccess) {
    /** The effects of a patch that does not take effect. */
    static final Effects NONE = new Effects(List.of(), List.of(), List.of(), List.of(), false);

    /** Copies the lists. */
    Effects {
        services = List.copyOf(services);
        targets = List.copyOf(targets);
        members = List.copyOf(members);
        routesWithoutTargets = List.copyOf(routesWithoutTargets);
    }

    static Effects of(List<EntityChange> changes, Configuration before, Configuration after) {
        Set<String> touched = new TreeSet<>();
        for (EntityChange change : changes) {
            addServices(change, before, touched);
            addServices(change, after, touched);
        }
        List<ServiceEffect> services =
                touched.stream().map(id -> ServiceEffect.of(id, before, after)).toList();
        return new Effects(
                services,
                ids(changes, EntityKind.TARGET),
                ids(changes, EntityKind.MEMBER),
                routesWithoutTargets(services, before, after),
                before.authenticatesByKey() && !after.authenticatesByKey());
    }

    private static void addServices(
            EntityChange change, Configuration configuration, Set<String> touched) {
        if (change.kind() == EntityKind.SERVICE) {
            touched.add(change.id());
        }
        Target target = configuration.target(change.id());
        if (change.kind() == EntityKind.TARGET && target != null) {
            touched.add(target.service());
        }
        Route route = configuration.route(change.id());
        if (change.kind() == EntityKind.ROUTE && route != null) {
            touched.add(route.service());
        }
    }

    private static List<String> ids(List<EntityChange> changes, EntityKind kind) {
        return changes.stream().filter(c -> c.kind() == kind).map(EntityChange::id).toList();
    }

    private static List<String> routesWithoutTargets(
            List<ServiceEffect> services, Configuration before, Configuration after) {
        List<String> routes = new ArrayList<>();
        for (ServiceEffect service : services) {
            if (service.after().targets() > 0) {
                continue;
            }
            for (Route route : after.routesOf(service.service())) {
                Route old = before.route(route.id());
                boolean hadTargets = old != null && !before.targetsOf(old.service()).isEmpty();
                if (old == null || hadTargets) {
                    routes.add(route.id());
                }
            }
        }
        return routes;
    }
}
