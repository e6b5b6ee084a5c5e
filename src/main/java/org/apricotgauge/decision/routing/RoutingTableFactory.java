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
 * Makes routing tables out of the configuration and of what is known of VMs and targets.
 *
 * <pre>{@code
 * RoutingTable table = factory.create(previous, version, configuration, view, nowNanos);
 * }</pre>
 *
 * <p>Only services whose targets or settings changed are built anew, so that one patch costs its
 * own size. The factory keeps the loads and the ramps of the targets from table to table; one
 * thread at a time may use it.
 */
public final class RoutingTableFactory {
    private final String mEntryVm;
    private final String mEntryDomain;
    private final ConcurrentMap<String, TargetLoad> mLoads = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> mRampStartsNanos = new ConcurrentHashMap<>();

    /** Creates the factory of one entry. */
    public RoutingTableFactory(String entryVm, String entryDomain) {
        mEntryVm = Checks.id("entryVm", entryVm);
        mEntryDomain = Checks.id("entryDomain", entryDomain);
    }

    /**
     * What is known of VMs and targets beside the configuration.
     *
     * @param guardOf address of the node beside a target, or null if there is none
     * @param leaving whether a target must get no new work
     * @param weightOf share of work a target may get, from 0 to 1
     */
    public record TargetStateSource(
            GuardLookup guardOf, Predicate<Target> leaving, ToDoubleFunction<Target> weightOf) {

        /** Checks the parts. */
        public TargetStateSource {
            Checks.notNull("guardOf", guardOf);
            Checks.notNull("leaving", leaving);
            Checks.notNull("weightOf", weightOf);
        }
    }

    /** Finds the node beside a target. */
    @FunctionalInterface
    public interface GuardLookup {
        /** Returns the address of the guard, or null if the target is reached directly. */
        Address guardOf(Target target);
    }

    /**
     * Returns the table for a new configuration; what did not change is shared with the old one.
     */
    public RoutingTable create(
            RoutingTable previous,
            long version,
            Configuration configuration,
            TargetStateSource view,
            long nowNanos) {
        Configuration old = previous.configuration();
        PMap<String, ServiceTable> services = previous.services();
        for (String id : new ArrayList<>(services.keySet())) {
            if (configuration.service(id) == null) {
                services = services.minus(id);
            }
        }
        for (Service service : configuration.services()) {
            boolean same =
                    service == old.service(service.id())
                            && configuration.sharesTargets(old, service.id());
            if (!same) {
                ServiceTable table = serviceTable(previous, service, configuration, view, nowNanos);
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

    /** Returns the table with one service built anew, after its targets' state changed. */
    public RoutingTable refresh(
            RoutingTable previous, String serviceId, TargetStateSource view, long nowNanos) {
        Service service = previous.configuration().service(serviceId);
        if (service == null) {
            return previous;
        }
        return previous.withService(
                serviceTable(previous, service, previous.configuration(), view, nowNanos));
    }

    private ServiceTable serviceTable(
            RoutingTable previous,
            Service service,
            Configuration configuration,
            TargetStateSource view,
            long nowNanos) {
        boolean known = previous.services().containsKey(service.id());
        Collection<Target> targets = configuration.targetsOf(service.id());
        List<Candidate> candidates = new ArrayList<>(targets.size());
        for (Target target : targets) {
            boolean isNew = known && !mLoads.containsKey(target.id());
            if (isNew) {
                mRampStartsNanos.put(target.id(), nowNanos);
            }
            candidates.add(
                    new Candidate(
                            target,
                            view.guardOf().guardOf(target),
                            view.leaving().test(target),
                            view.weightOf().applyAsDouble(target),
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
