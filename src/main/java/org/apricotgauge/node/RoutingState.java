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
 * Keeps the routing table consistent with the configuration, the members and the verdicts.
 *
 * <pre>{@code
 * state.configurationChanged(version, configuration);
 * RoutingTable table = state.table();   // for each request
 * }</pre>
 *
 * <p>Changes are serialized by a lock; readers get the current table from an atomic reference and
 * never block.
 */
final class RoutingState {
    /** Leaving targets kept at most; those before them ended long ago. */
    private static final int MAX_SELF_REPORTED = 4_096;

    private final AtomicReference<RoutingTable> mTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final RoutingTableFactory mFactory;
    private final Ticker mTicker;
    private final RoutingTableFactory.TargetStateSource mTargetStates;
    private final KeyAccessLog mKeyAccessLog = new KeyAccessLog();
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

    /** Returns the current table; a request reads it once. */
    RoutingTable table() {
        return mTable.get();
    }

    synchronized void configurationChanged(long version, Configuration configuration) {
        mKeyAccessLog.configurationChanged(version, mTable.get().configuration(), configuration);
        mTable.set(
                mFactory.create(
                        mTable.get(), version, configuration, mTargetStates, mTicker.nanos()));
    }

    /** Sets the members and rebuilds the tables of the services that they change. */
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
     * Records that a target reported itself as leaving, until it ends and regardless of the
     * members; returns whether that was not recorded before.
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

    /** Returns whether a target must get no new requests, by its own report or by the members. */
    boolean isLeaving(Target target) {
        return mSelfReportedLeaving.contains(target.id()) || mMembers.isLeaving(target);
    }

    /** Returns the number of nodes. */
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
