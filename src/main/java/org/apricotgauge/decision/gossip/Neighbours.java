package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;

/**
 * Maintains this node's partial view: a few links dialled to random nodes in the local and in other
 * failure domains, replaced from time to time, and a bounded number of accepted links.
 *
 * <p>Each node dials 4 links, so that a node has 8 links on average regardless of the fleet size. A
 * random graph in which each node picks m others remains connected when any m - 1 nodes are removed
 * (Fenner and Frieze, 1982).
 */
final class Neighbours {
    private static final int MAX_DIALLING = 4;
    private static final int MAX_HINTS = 32;
    private static final long HEAL_INTERVAL_MILLIS = 5_000;
    private static final long DISCOVERY_INTERVAL_MILLIS = 1_000;
    private static final long MIN_SURPLUS_AGE_MILLIS = 10_000;

    /** Opens a link to a peer; the VM is null if only the address is known. */
    interface Dialler {
        void dial(Vm vm, Address address, long nowMillis);
    }

    private final GossipContext mContext;
    private final Supplier<VmView> mView;
    private final PeerFailureDetector mFailureDetector;
    private final List<Address> mSeeds;
    private final Dialler mDialler;
    private final Map<String, Vm> mHints = new LinkedHashMap<>();
    private List<Vm> mNodes = List.of();
    private VmView mNodesView = VmView.EMPTY;
    private long mNextRewireMillis;
    private long mNextHealMillis;
    private long mNextDiscoveryMillis;

    Neighbours(
            GossipContext context,
            Supplier<VmView> view,
            PeerFailureDetector failureDetector,
            List<Address> seeds,
            Dialler dialler) {
        mContext = context;
        mView = view;
        mFailureDetector = failureDetector;
        mSeeds = List.copyOf(seeds);
        mDialler = dialler;
    }

    /** Stores nodes that a peer named; they are used until the VM list is available. */
    void onHints(List<Vm> vms) {
        for (Vm vm : vms) {
            if (mHints.size() < MAX_HINTS && !vm.id().equals(mContext.self().id())) {
                mHints.put(vm.id(), vm);
            }
        }
    }

    /** Returns a sample of known nodes for a newly linked peer. */
    List<Vm> sample(int count) {
        return mContext.sample(nodes(), count);
    }

    /** Returns a dialled link to replace by another one, or null if none is due. */
    Link linkToReplace(long nowMillis) {
        if (nowMillis < mNextRewireMillis) {
            return null;
        }
        long meanMillis = mContext.settings().rewireMillis();
        boolean isFirst = mNextRewireMillis == 0;
        mNextRewireMillis = nowMillis + meanMillis / 2 + mContext.random().nextLong(meanMillis);
        GossipSettings settings = mContext.settings();
        int wanted = settings.ownDomainLinks() + settings.otherDomainLinks();
        List<Link> dialled = mContext.links().where(l -> l.established() && l.dialled());
        boolean hasOthers = linkable(nodes()).stream().anyMatch(vm -> isUsable(vm, nowMillis));
        return isFirst || dialled.size() < wanted || !hasOthers ? null : mContext.pick(dialled);
    }

    /** Returns a dialled link in excess of the configured number, or null. */
    Link surplusLink(long nowMillis) {
        GossipSettings settings = mContext.settings();
        int own = countDialled(true);
        int other = countDialled(false);
        if (own + other <= settings.ownDomainLinks() + settings.otherDomainLinks()) {
            return null;
        }
        boolean hasSurplusOwn = own > settings.ownDomainLinks();
        return mContext.pick(
                mContext.links()
                        .where(
                                link ->
                                        link.established()
                                                && link.dialled()
                                                && inOwnDomain(link) == hasSurplusOwn
                                                && nowMillis - link.mOpenedAtMillis
                                                        > MIN_SURPLUS_AGE_MILLIS));
    }

    /**
     * Dials at most one peer: for a missing link, or an unreachable node to reconnect the sides of
     * a partition.
     */
    void dialMissing(long nowMillis) {
        int dialling = mContext.links().count(l -> l.mState != Link.State.ESTABLISHED);
        if (dialling >= MAX_DIALLING) {
            return;
        }
        Vm chosen = chooseMissing(nowMillis);
        if (chosen == null) {
            chosen = chooseUnreachable(nowMillis);
        }
        if (chosen != null) {
            dial(chosen, nowMillis);
        } else if (missingLinks() > 0) {
            discover(nowMillis);
        }
    }

    private Vm chooseMissing(long nowMillis) {
        GossipSettings settings = mContext.settings();
        int missingOther = settings.otherDomainLinks() - countDialled(false);
        int missing = missingLinks();
        Vm chosen = null;
        if (missingOther > 0) {
            chosen = candidate(false, nowMillis);
        }
        if (chosen == null && missing > 0) {
            chosen = candidate(true, nowMillis);
        }
        if (chosen == null && missing > 0) {
            chosen = candidate(false, nowMillis);
        }
        return chosen;
    }

    /**
     * Dials hints and seeds beyond the known nodes while the node has fewer links than configured.
     *
     * <p>Two nodes that start at the same time may find only each other. If one link were enough,
     * they would stay isolated until the platform's VM list is available.
     */
    private void discover(long nowMillis) {
        if (nowMillis < mNextDiscoveryMillis) {
            return;
        }
        mNextDiscoveryMillis = nowMillis + DISCOVERY_INTERVAL_MILLIS;
        boolean isAlone = mContext.links().established().isEmpty();
        Vm known = isAlone ? mContext.pick(linkable(nodes())) : null;
        Vm hint = mContext.pick(linkable(List.copyOf(mHints.values())));
        Address seed = mContext.pick(mSeeds.stream().filter(this::notLinked).toList());
        if (hint != null && mContext.random().nextBoolean()) {
            dial(hint, nowMillis);
        } else if (known != null && mContext.random().nextBoolean()) {
            dial(known, nowMillis);
        } else if (seed != null) {
            mDialler.dial(null, seed, nowMillis);
        } else if (known != null) {
            dial(known, nowMillis);
        }
    }

    private boolean notLinked(Address seed) {
        Vm self = mContext.self();
        boolean isOwn = seed.equals(new Address(self.host(), self.peerPort()));
        return !isOwn
                && mContext.links()
                                .count(
                                        link ->
                                                link.mRemote != null
                                                        && link.mRemote.peerPort() == seed.port()
                                                        && link.mRemote.host().equals(seed.host()))
                        == 0;
    }

    private int missingLinks() {
        GossipSettings settings = mContext.settings();
        int wanted = settings.ownDomainLinks() + settings.otherDomainLinks();
        return wanted - countDialled(true) - countDialled(false);
    }

    private Vm chooseUnreachable(long nowMillis) {
        // In a partition all nodes of the other side become unreachable. If they were never dialled
        // again, the two sides would stay separate after the partition has healed. The probability
        // limits the dials to one unreachable node to about one per HEAL_INTERVAL_MILLIS,
        // regardless of the fleet size.
        if (nowMillis < mNextHealMillis) {
            return null;
        }
        mNextHealMillis = nowMillis + HEAL_INTERVAL_MILLIS;
        VmView view = mView.get();
        List<Vm> unreachable =
                linkable(nodes()).stream().filter(vm -> view.unreachable(vm.id())).toList();
        boolean shouldDial = mContext.random().nextInt(1 + nodes().size()) < unreachable.size();
        return shouldDial ? mContext.pick(unreachable) : null;
    }

    private Vm candidate(boolean ownDomain, long nowMillis) {
        String domain = mContext.self().failureDomain();
        List<Vm> choices = new ArrayList<>();
        List<Vm> newDomains = new ArrayList<>();
        for (Vm vm : linkable(nodes())) {
            boolean isMatching = vm.failureDomain().equals(domain) == ownDomain;
            if (isMatching && isUsable(vm, nowMillis)) {
                choices.add(vm);
                if (!linkedIn(vm.failureDomain())) {
                    newDomains.add(vm);
                }
            }
        }
        // Prefers domains without a link: the loss of one domain then costs one link, and a new
        // node receives the state of as many domains as possible.
        return mContext.pick(newDomains.isEmpty() ? choices : newDomains);
    }

    private boolean linkedIn(String domain) {
        return mContext.links()
                        .count(
                                link ->
                                        link.mRemote != null
                                                && link.mRemote.failureDomain().equals(domain))
                > 0;
    }

    private boolean isUsable(Vm vm, long nowMillis) {
        return !mView.get().unreachable(vm.id()) && !mFailureDetector.isAvoided(vm.id(), nowMillis);
    }

    private List<Vm> linkable(List<Vm> vms) {
        return vms.stream()
                .filter(vm -> !vm.id().equals(mContext.self().id()))
                .filter(vm -> !mContext.links().linkedTo(vm.id()))
                .toList();
    }

    private void dial(Vm vm, long nowMillis) {
        mDialler.dial(vm, new Address(vm.host(), vm.peerPort()), nowMillis);
    }

    private int countDialled(boolean ownDomain) {
        return mContext.links()
                .count(
                        link ->
                                link.dialled()
                                        && link.mRole == Link.Role.NEIGHBOUR
                                        && link.mRemote != null
                                        && inOwnDomain(link) == ownDomain);
    }

    private boolean inOwnDomain(Link link) {
        return link.mRemote.failureDomain().equals(mContext.self().failureDomain());
    }

    private List<Vm> nodes() {
        VmView view = mView.get();
        if (view != mNodesView) {
            mNodesView = view;
            mNodes = view.nodes();
        }
        return mNodes;
    }
}
