package org.apricotgauge.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.RoutingTableFactory;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/**
 * Keeps the routing table true to the configuration, the VMs and the verdicts.
 *
 * <pre>{@code
 * state.configurationChanged(version, configuration);
 * RoutingTable table = state.table();   // on a request's path
 * }</pre>
 *
 * <p>Changes are serialised by a lock; readers take the present table from an atomic reference and
 * never wait.
 */
final class RoutingState {
    /** Runs of targets that are remembered to leave; those before them are long gone. */
    private static final int MAX_SELF_REPORTED = 4_096;

    private final AtomicReference<RoutingTable> mTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final RoutingTableFactory mFactory;
    private final Ticker mTicker;
    private final RoutingTableFactory.TargetStateSource mTargetStates;
    private final Map<String, EjectionVerdicts> mVerdicts = new HashMap<>();
    private final Set<String> mSelfReportedLeaving = ConcurrentHashMap.newKeySet();
    private final Deque<String> mSelfReportedOrder = new ArrayDeque<>();
    private volatile SiteMembers mMembers = SiteMembers.of(VmView.EMPTY, "");

    RoutingState(String vm, String failureDomain, Ticker ticker) {
        mFactory = new RoutingTableFactory(vm, failureDomain);
        mTicker = ticker;
        mTargetStates =
                new RoutingTableFactory.TargetStateSource(
                        this::guardOf, this::isLeaving, this::weightOf);
    }

    /** Returns the present table; a request reads it once. */
    RoutingTable table() {
        return mTable.get();
    }

    synchronized void configurationChanged(long version, Configuration configuration) {
        mTable.set(
                mFactory.create(
                        mTable.get(), version, configuration, mTargetStates, mTicker.nanos()));
    }

    /** Takes what is known of the members and builds anew the services that it changes. */
    synchronized void membersChanged(SiteMembers members) {
        mMembers = members;
        Set<String> services = new HashSet<>();
        for (ServiceTable service : mTable.get().services().values()) {
            if (service.all().stream().anyMatch(this::isOutdated)) {
                services.add(service.service().id());
            }
        }
        services.forEach(this::refresh);
    }

    private boolean isOutdated(Candidate candidate) {
        Target target = candidate.target();
        return candidate.leaving() != isLeaving(target)
                || !Objects.equals(candidate.guard(), guardOf(target));
    }

    synchronized void verdictsChanged(String service, EjectionVerdicts verdicts) {
        mVerdicts.put(service, verdicts);
        refresh(service);
    }

    /**
     * Notes that a target itself said that it leaves, for as long as its run lasts and whatever the
     * members say; returns whether that is news.
     */
    boolean recordSelfReportedLeaving(Target target) {
        if (mSelfReportedLeaving.contains(target.id())) {
            return false;
        }
        return addLeaving(target);
    }

    private synchronized boolean addLeaving(Target target) {
        if (!mSelfReportedLeaving.add(target.id())) {
            return false;
        }
        mSelfReportedOrder.add(target.id());
        if (mSelfReportedOrder.size() > MAX_SELF_REPORTED) {
            mSelfReportedLeaving.remove(mSelfReportedOrder.remove());
        }
        refresh(target.service());
        return true;
    }

    /** Returns whether a target must get no new work, by its word or by membership. */
    boolean isLeaving(Target target) {
        return mSelfReportedLeaving.contains(target.id()) || mMembers.isLeaving(target);
    }

    /** Returns how many nodes there are. */
    int nodeCount() {
        return mMembers.nodeCount();
    }

    private void refresh(String service) {
        mTable.set(mFactory.refresh(mTable.get(), service, mTargetStates, mTicker.nanos()));
    }

    private Address guardOf(Target target) {
        return mMembers.guardOf(target);
    }

    private double weightOf(Target target) {
        EjectionVerdicts verdicts = mVerdicts.get(target.service());
        if (verdicts == null) {
            return 1.0;
        }
        return verdicts.isEligible(target.id()) ? verdicts.weight(target.id()) : 0.0;
    }
}
