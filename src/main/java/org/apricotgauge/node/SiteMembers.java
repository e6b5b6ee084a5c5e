package org.apricotgauge.node;

import java.util.List;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.model.Vm;

/** Which nodes there are, and which targets leave, beside what the configuration says. */
interface SiteMembers {

    /** Returns the address of the node beside a target, or null if there is none. */
    Address guardOf(Target target);

    /** Returns whether a target must get no new work. */
    boolean isLeaving(Target target);

    /** Returns how many nodes there are. */
    int nodeCount();

    /** Returns the other nodes, at which datagrams are heard. */
    List<Peer> peers();

    /**
     * Another node.
     *
     * @param address where it hears datagrams
     * @param failureDomain where its VM stands
     */
    record Peer(Address address, String failureDomain) {}

    /** Returns the members as the platform's list of VMs and the nodes' gossip tell them. */
    static SiteMembers of(VmView view, String ownVm) {
        return new SiteMembers() {
            @Override
            public Address guardOf(Target target) {
                Vm vm = view.vm(target.vm());
                return vm == null || !vm.hasNode() ? null : new Address(vm.host(), vm.guardPort());
            }

            @Override
            public boolean isLeaving(Target target) {
                return view.leaving(target.vm(), target.id());
            }

            @Override
            public int nodeCount() {
                return view.nodes().size();
            }

            @Override
            public List<Peer> peers() {
                return view.nodes().stream()
                        .filter(vm -> !vm.id().equals(ownVm))
                        .map(
                                vm ->
                                        new Peer(
                                                new Address(vm.host(), vm.peerPort()),
                                                vm.failureDomain()))
                        .toList();
            }
        };
    }
}
