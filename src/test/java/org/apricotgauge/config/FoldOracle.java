package org.apricotgauge.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/** The fold in its simplest form: copies everything, and checks everything after each patch. */
final class FoldOracle {
    private Map<String, Service> mServices = new HashMap<>();
    private Map<String, Target> mTargets = new HashMap<>();
    private Map<String, Route> mRoutes = new HashMap<>();
    private long mVersion;

    long version() {
        return mVersion;
    }

    /** Returns whether the patch took effect. */
    boolean take(Patch patch) {
        FoldOracle trial = new FoldOracle();
        trial.mServices = new HashMap<>(mServices);
        trial.mTargets = new HashMap<>(mTargets);
        trial.mRoutes = new HashMap<>(mRoutes);
        if (patch.baseVersion() != mVersion
                || !patch.operations().stream().allMatch(trial::apply)
                || !trial.isValid()) {
            return false;
        }
        mServices = trial.mServices;
        mTargets = trial.mTargets;
        mRoutes = trial.mRoutes;
        mVersion++;
        return true;
    }

    boolean agreesWith(Configuration configuration) {
        return same(mServices, configuration.services())
                && same(mTargets, configuration.targets())
                && same(mRoutes, configuration.routes())
                && mServices.keySet().stream()
                        .allMatch(
                                s ->
                                        count(mTargets.values(), s)
                                                        == configuration.targetsOf(s).size()
                                                && countRoutes(s)
                                                        == configuration.routesOf(s).size());
    }

    private boolean apply(PatchOperation operation) {
        if (operation instanceof PatchOperation.PutService put) {
            mServices.put(put.service().id(), put.service());
        } else if (operation instanceof PatchOperation.PutTarget put) {
            mTargets.put(put.target().id(), put.target());
        } else if (operation instanceof PatchOperation.PutRoute put) {
            mRoutes.put(put.route().id(), put.route());
        } else if (operation instanceof PatchOperation.RemoveService remove) {
            return mServices.remove(remove.id()) != null;
        } else if (operation instanceof PatchOperation.RemoveTarget remove) {
            return mTargets.remove(remove.id()) != null;
        } else if (operation instanceof PatchOperation.RemoveRoute remove) {
            return mRoutes.remove(remove.id()) != null;
        } else if (operation instanceof PatchOperation.SetFloorPercent set) {
            return set.floorPercent() <= 100
                    && mServices.computeIfPresent(
                                    set.service(),
                                    (id, s) -> s.withFloorPercent(set.floorPercent()))
                            != null;
        }
        return true;
    }

    private boolean isValid() {
        Map<String, String> domains = new HashMap<>();
        Set<String> matches = new HashSet<>();
        return mTargets.values().stream().allMatch(t -> mServices.containsKey(t.service()))
                && mRoutes.values().stream().allMatch(r -> mServices.containsKey(r.service()))
                && mRoutes.values().stream().allMatch(r -> matches.add(r.host() + r.pathPrefix()))
                && mTargets.values().stream()
                        .allMatch(
                                t ->
                                        t.failureDomain()
                                                .equals(
                                                        domains.computeIfAbsent(
                                                                t.vm(), vm -> t.failureDomain())));
    }

    private long countRoutes(String service) {
        return mRoutes.values().stream().filter(r -> r.service().equals(service)).count();
    }

    private static long count(Collection<Target> targets, String service) {
        return targets.stream().filter(t -> t.service().equals(service)).count();
    }

    private static <T> boolean same(Map<String, T> expected, Collection<T> actual) {
        return expected.size() == actual.size()
                && new HashSet<>(expected.values()).equals(new HashSet<>(actual));
    }
}
