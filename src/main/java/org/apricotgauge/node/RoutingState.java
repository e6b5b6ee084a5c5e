package org.apricotgauge.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.decision.detection.Verdicts;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.RoutingTableFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.time.Ticker;

/**
 * Keeps the routing table true to the configuration, the list of VMs and the verdicts.
 *
 * <pre>{@code
 * state.configurationChanged(history);
 * RoutingTable table = state.table();   // on a request's path
 * }</pre>
 *
 * <p>Changes are serialised by a lock; readers take the present table from an atomic reference and
 * never wait.
 */
final class RoutingState {
    private final AtomicReference<RoutingTable> mTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final RoutingTableFactory mFactory;
    private final Ticker mTicker;
    private final RoutingTableFactory.View mView;
    private final Map<String, Verdicts> mVerdicts = new HashMap<>();
    private Map<String, VmStatus> mVms = Map.of();
    private boolean mVmsKnown;

    RoutingState(String vm, String failureDomain, Ticker ticker) {
        mFactory = new RoutingTableFactory(vm, failureDomain);
        mTicker = ticker;
        mView = new RoutingTableFactory.View(this::guardOf, this::isLeaving, this::weightOf);
    }

    /** Returns the present table; a request reads it once. */
    RoutingTable table() {
        return mTable.get();
    }

    synchronized void configurationChanged(ConfigHistory history) {
        mTable.set(
                mFactory.create(
                        mTable.get(),
                        history.version(),
                        history.configuration(),
                        mView,
                        mTicker.nanos()));
    }

    /** Takes a new list of VMs and builds anew the services that stand on those that changed. */
    synchronized void vmsChanged(Map<String, VmStatus> vms) {
        Set<String> changed = new HashSet<>(mVms.keySet());
        changed.addAll(vms.keySet());
        Map<String, VmStatus> old = mVms;
        changed.removeIf(id -> mVmsKnown && Objects.equals(old.get(id), vms.get(id)));
        mVms = Map.copyOf(vms);
        boolean first = !mVmsKnown;
        mVmsKnown = true;
        Set<String> services = new HashSet<>();
        for (Target target : mTable.get().configuration().targets()) {
            if (first || changed.contains(target.vm())) {
                services.add(target.service());
            }
        }
        services.forEach(this::refresh);
    }

    synchronized void verdictsChanged(String service, Verdicts verdicts) {
        mVerdicts.put(service, verdicts);
        refresh(service);
    }

    /** Returns whether a target must get no new work, as far as the list of VMs says. */
    synchronized boolean isLeaving(Target target) {
        VmStatus status = mVms.get(target.vm());
        if (status == null) {
            // An empty list means that none was read yet; then every configured target is tried.
            return mVmsKnown;
        }
        return status.state() == VmStatus.State.LEAVING;
    }

    private void refresh(String service) {
        mTable.set(mFactory.refresh(mTable.get(), service, mView, mTicker.nanos()));
    }

    private Address guardOf(Target target) {
        VmStatus status = mVms.get(target.vm());
        if (status == null || !status.vm().hasNode()) {
            return null;
        }
        Vm vm = status.vm();
        return new Address(vm.host(), vm.guardPort());
    }

    private double weightOf(Target target) {
        Verdicts verdicts = mVerdicts.get(target.service());
        if (verdicts == null) {
            return 1.0;
        }
        return verdicts.isEligible(target.id()) ? verdicts.weight(target.id()) : 0.0;
    }
}
