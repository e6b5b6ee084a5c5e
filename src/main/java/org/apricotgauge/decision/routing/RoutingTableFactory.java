package org.apricotgauge.decision.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.pcollections.PMap;

/**
 * Builds routing tables from the configuration and the state of VMs and targets.
 *
 * <pre>{@code
 * RoutingTable table = factory.create(previous, version, configuration, states, nowNanos);
 * }</pre>
 *
 * <p>Only services whose targets or settings changed are rebuilt, so the cost of a patch depends on
 * its own size. The factory keeps the loads and ramps of the targets from one table to the next.
 * Not thread-safe.
 */
public final class RoutingTableFactory {
    private final String mEntryVm;
    private final String mEntryDomain;
    private final ConcurrentMap<String, TargetLoad> mLoads = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> mRampStartsNanos = new ConcurrentHashMap<>();

    /** Creates the factory for one entry. */
    public RoutingTableFactory(String entryVm, String entryDomain) {
        mEntryVm = Checks.id("entryVm", entryVm);
        mEntryDomain = Checks.id("entryDomain", entryDomain);
    }

    /**
     * State of VMs and targets that is not part of the configuration.
     *
     * @param guardOf returns the address of the guard beside a target, or null if there is none
     * @param leaving returns whether a target is leaving and must get no new requests
     * @param weightOf returns the factor on a target's share of requests, from 0 to 1
     */
    public record TargetStateSource(
            GuardLookup guardOf, Predicate<Target> leaving, ToDoubleFunction<Target> weightOf) {

        public TargetStateSource {
            Checks.notNull("guardOf", guardOf);
            Checks.notNull("leaving", leaving);
            Checks.notNull("weightOf", weightOf);
        }
    }

    /** Finds the guard beside a target. */
    @FunctionalInterface
    public interface GuardLookup {
        /** Returns the address of the guard, or null if the target is reached directly. */
        Address guardOf(Target target);
    }

    /**
     * Returns the table for a new configuration; unchanged parts are shared with the previous
     * table.
     */
    public RoutingTable create(
            RoutingTable previous,
            long version,
            Configuration configuration,
            TargetStateSource states,
            long nowNanos) {
        Configuration old = previous.configuration();
        PMap<String, ServiceTable> services = previous.services();
        for (String id : new ArrayList<>(services.keySet())) {
            if (configuration.service(id) == null) {
                services = services.minus(id);
            }
        }
        for (Service service : configuration.services()) {
            boolean unchanged =
                    service == old.service(service.id())
                            && configuration.sharesTargets(old, service.id());
            if (!unchanged) {
                ServiceTable table =
                        serviceTable(previous, service, configuration, states, nowNanos);
                services = services.plus(service.id(), table);
            }
        }
        evictRemovedTargets(previous, configuration);
        RouteIndex routes =
                configuration.sharesRoutes(old)
                        ? previous.routes()
                        : RouteIndex.of(configuration.routes());
        return new RoutingTable(version, configuration, routes, services);
    }

    /** Returns the table with one service rebuilt, after the state of its targets changed. */
    public RoutingTable refresh(
            RoutingTable previous, String serviceId, TargetStateSource states, long nowNanos) {
        Service service = previous.configuration().service(serviceId);
        if (service == null) {
            return previous;
        }
        return previous.withService(
                serviceTable(previous, service, previous.configuration(), states, nowNanos));
    }

    private ServiceTable serviceTable(
            RoutingTable previous,
            Service service,
            Configuration configuration,
            TargetStateSource states,
            long nowNanos) {
        boolean serviceExisted = previous.services().containsKey(service.id());
        Collection<Target> targets = configuration.targetsOf(service.id());
        List<Candidate> candidates = new ArrayList<>(targets.size());
        for (Target target : targets) {
            boolean isNew = serviceExisted && !mLoads.containsKey(target.id());
            if (isNew) {
                mRampStartsNanos.put(target.id(), nowNanos);
            }
            candidates.add(
                    new Candidate(
                            target,
                            states.guardOf().guardOf(target),
                            states.leaving().test(target),
                            states.weightOf().applyAsDouble(target),
                            mRampStartsNanos.getOrDefault(target.id(), Candidate.NO_RAMP),
                            mLoads.computeIfAbsent(target.id(), id -> new TargetLoad())));
        }
        return ServiceTable.of(service, candidates, mEntryVm, mEntryDomain);
    }

    private void evictRemovedTargets(RoutingTable previous, Configuration configuration) {
        if (previous.configuration() == configuration) {
            return;
        }
        mLoads.keySet().removeIf(id -> configuration.target(id) == null);
        mRampStartsNanos.keySet().removeIf(id -> configuration.target(id) == null);
    }
}
