package org.apricotgauge.decision.gossip;

import java.util.List;
import java.util.function.UnaryOperator;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An immutable view of the VMs of the site, merged from the platform's lagging list and the items
 * that nodes publish.
 *
 * <pre>{@code
 * if (view.leaving(target.vm(), target.id())) {
 *     return; // send no new requests
 * }
 * }</pre>
 *
 * <p>Each source can only make a VM or target leave sooner: it is leaving if the platform lists it
 * as leaving, if the platform removed the VM from its list, or if its own node announced it in its
 * current run. A VM that the platform doesn't list yet is known as soon as its node is observed. An
 * unknown VM is not leaving, since the list may be unavailable.
 */
public final class VmView {
    /** A view without VMs. */
    public static final VmView EMPTY = new VmView(HashTreePMap.empty());

    private final PMap<String, KnownVm> mVms;

    private VmView(PMap<String, KnownVm> vms) {
        mVms = vms;
    }

    /** Returns the VM, or null if it is unknown. */
    public Vm vm(String id) {
        KnownVm known = mVms.get(id);
        return known == null ? null : known.vm();
    }

    /** Returns whether the whole VM is leaving or removed. */
    public boolean leaving(String vm) {
        return leaving(vm, LeavingNotice.WHOLE_VM);
    }

    /** Returns whether the target on the VM is leaving or removed. */
    public boolean leaving(String vm, String target) {
        KnownVm known = mVms.get(vm);
        return known != null && known.leaving(target);
    }

    /**
     * Returns whether several nodes failed to reach the VM's node for some seconds. This concerns
     * the node's peer port only, not its targets; those are subject to outlier detection.
     */
    public boolean unreachable(String vm) {
        KnownVm known = mVms.get(vm);
        return known != null && known.unreachable();
    }

    /** Returns the latest known incarnation of the VM's node; 0 if none is known. */
    public long incarnation(String vm) {
        KnownVm known = mVms.get(vm);
        return known == null ? 0 : known.incarnation();
    }

    /** Returns all VMs that have a peer port and are not leaving, in no particular order. */
    public List<Vm> nodes() {
        return mVms.values().stream()
                .filter(known -> !known.leaving(LeavingNotice.WHOLE_VM))
                .map(KnownVm::vm)
                .filter(vm -> vm.peerPort() != 0)
                .toList();
    }

    /** Returns the number of known VMs, including leaving ones. */
    public int size() {
        return mVms.size();
    }

    VmView withLine(VmLine line) {
        if (line.removed()) {
            return update(line.id(), known -> known.withPlatformLeaving(true));
        }
        boolean leaving = line.status().state() == VmStatus.State.LEAVING;
        KnownVm known = mVms.getOrDefault(line.id(), KnownVm.of(line.status().vm()));
        return with(known.withVm(line.status().vm()).withPlatformLeaving(leaving));
    }

    VmView withAlive(Vm vm, long incarnation) {
        KnownVm known = mVms.getOrDefault(vm.id(), KnownVm.of(vm));
        if (incarnation < known.incarnation()) {
            return this;
        }
        return with(known.withVm(vm).withIncarnation(incarnation).withUnreachable(false));
    }

    VmView withNotice(LeavingNotice notice) {
        return update(
                notice.vm(), known -> known.withNotice(notice.target(), notice.incarnation()));
    }

    VmView withUnreachable(String vm, boolean unreachable) {
        return update(vm, known -> known.withUnreachable(unreachable));
    }

    VmView without(List<String> vms) {
        return vms.isEmpty() ? this : new VmView(mVms.minusAll(vms));
    }

    private VmView update(String id, UnaryOperator<KnownVm> change) {
        KnownVm known = mVms.get(id);
        return known == null ? this : with(change.apply(known));
    }

    private VmView with(KnownVm known) {
        if (known.equals(mVms.get(known.vm().id()))) {
            return this;
        }
        return new VmView(mVms.plus(known.vm().id(), known));
    }
}
