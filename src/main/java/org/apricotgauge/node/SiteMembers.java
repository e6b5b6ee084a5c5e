package org.apricotgauge.node;

import java.util.List;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.model.Vm;

/** The nodes of the site and its leaving targets, in addition to the configuration. */
interface SiteMembers {

    /** Returns the address of the node beside a target, or null if there is none. */
    Address guardOf(Target target);

    /** Returns whether a target must get no new requests. */
    boolean isLeaving(Target target);

    /** Returns the number of nodes. */
    int nodeCount();

    /** Returns the other nodes, with their addresses for datagrams. */
    List<Peer> peers();

    /** Returns whether the other nodes, as far as this one can know, have it among their peers. */
    default boolean isListed() {
        return true;
    }

    /**
     * Another node.
     *
     * @param address address at which it receives datagrams
     * @param failureDomain failure domain of its VM
     */
    record Peer(Address address, String failureDomain) {

        // Written out: the methods that a record inherits are linked when they are first called,
        // which
        // takes milliseconds of a node's start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Peer that
                    && address.equals(that.address)
                    && failureDomain.equals(that.failureDomain);
        }

        @Override
        public int hashCode() {
            return 31 * address.hashCode() + failureDomain.hashCode();
        }
    }

    /** Returns the members as of the platform's list of VMs and the nodes' gossip. */
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
            public boolean isListed() {
                return view.nodes().stream().anyMatch(vm -> vm.id().equals(ownVm));
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
