package org.apricotgauge.decision.gossip;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apricotgauge.model.Vm;

/**
 * Detects unreachable peers as in SWIM (DSN 2002): before a node suspects a peer, it requests
 * indirect probes from other nodes.
 *
 * <p>If any of them reaches the peer, the path is at fault (often in one direction only), not the
 * peer; this node then only avoids the peer for a while. If none of them responds, this node may
 * itself be disconnected, and suspects no peer.
 */
final class PeerFailureDetector {
    private static final int MAX_HELPERS = 3;
    private static final int MAX_INDIRECT_PROBES = 64;
    private static final int MAX_PROBES_FOR_OTHERS = 8;
    private static final int MAX_AVOIDED = 1_024;
    private static final long AVOID_MILLIS = 10_000;
    private static final long AVOID_PATH_FAULT_MILLIS = 60_000;
    private static final long INDIRECT_PROBE_TIMEOUT_MILLIS = 5_000;

    private static final class IndirectProbe {
        final Vm mVm;
        final long mDeadlineMillis;
        final int mHelperCount;
        int mFailedCount;

        IndirectProbe(Vm vm, long deadlineMillis, int helperCount) {
            mVm = vm;
            mDeadlineMillis = deadlineMillis;
            mHelperCount = helperCount;
        }
    }

    private record Requester(long link, long nonce) {}

    private final GossipContext mContext;
    private final PeerTransport<?> mTransport;
    private final LocalHealthMultiplier mHealthMultiplier;
    private final BiConsumer<Vm, Long> mSuspicionHandler;
    private final Map<Long, IndirectProbe> mIndirectProbes = new HashMap<>();
    private final Map<Long, Requester> mProbesForOthers = new HashMap<>();
    private final Map<String, Long> mSuspectSinceMillis = new HashMap<>();
    private final Map<String, Long> mAvoidUntilMillis =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_AVOIDED;
                }
            };
    private long mNextNonce = 1;

    PeerFailureDetector(
            GossipContext context,
            PeerTransport<?> transport,
            LocalHealthMultiplier healthMultiplier,
            BiConsumer<Vm, Long> suspicionHandler) {
        mContext = context;
        mTransport = transport;
        mHealthMultiplier = healthMultiplier;
        mSuspicionHandler = suspicionHandler;
    }

    boolean isAvoided(String vm, long nowMillis) {
        return mAvoidUntilMillis.getOrDefault(vm, Long.MIN_VALUE) > nowMillis;
    }

    /** Avoids a peer that rejected a link, in favour of others. */
    void avoid(String vm, long nowMillis) {
        mAvoidUntilMillis.put(vm, nowMillis + AVOID_MILLIS);
    }

    /** Requests indirect probes of a peer after a dial of it failed. */
    void onUnreachable(Vm vm, long nowMillis) {
        avoid(vm.id(), nowMillis);
        boolean isPending =
                mSuspectSinceMillis.containsKey(vm.id())
                        || mIndirectProbes.values().stream()
                                .anyMatch(probe -> probe.mVm.id().equals(vm.id()));
        if (isPending || mIndirectProbes.size() >= MAX_INDIRECT_PROBES) {
            return;
        }
        List<Link> others =
                mContext.links()
                        .where(link -> link.established() && !link.mRemote.id().equals(vm.id()));
        List<Link> helpers = mContext.sample(others, MAX_HELPERS);
        if (helpers.isEmpty()) {
            return;
        }
        long nonce = mNextNonce++;
        long deadlineMillis = nowMillis + mHealthMultiplier.scale(INDIRECT_PROBE_TIMEOUT_MILLIS);
        mIndirectProbes.put(nonce, new IndirectProbe(vm, deadlineMillis, helpers.size()));
        for (Link helper : helpers) {
            mTransport.send(helper.mId, new PeerMessage.ProbeRequest(nonce, vm));
        }
    }

    /**
     * Handles a request of another node to probe a peer.
     *
     * @return whether a probe has to be dialled; the caller then registers it by {@link
     *     #onProbeDialled}
     */
    boolean onProbeRequest(Link link, PeerMessage.ProbeRequest request, long nowMillis) {
        long recentMillis = nowMillis - 2 * mContext.settings().heartbeatMillis();
        boolean isConnected =
                mContext.links()
                                .count(
                                        other ->
                                                other.established()
                                                        && other.mRemote
                                                                .id()
                                                                .equals(request.vm().id())
                                                        && other.mLastReceivedMillis
                                                                >= recentMillis)
                        > 0;
        if (isConnected) {
            mTransport.send(link.mId, new PeerMessage.ProbeResult(request.nonce(), true));
            return false;
        }
        return mProbesForOthers.size() < MAX_PROBES_FOR_OTHERS;
    }

    void onProbeDialled(long probe, long requester, long nonce) {
        mProbesForOthers.put(probe, new Requester(requester, nonce));
    }

    /** Handles the end of a dialled probe; returns whether it was on behalf of another node. */
    boolean onProbeEnded(long probe, boolean reachable) {
        Requester requester = mProbesForOthers.remove(probe);
        if (requester == null) {
            return false;
        }
        mTransport.send(
                requester.link(), new PeerMessage.ProbeResult(requester.nonce(), reachable));
        return true;
    }

    void onProbeResult(PeerMessage.ProbeResult result, long nowMillis) {
        IndirectProbe probe = mIndirectProbes.get(result.nonce());
        if (probe == null) {
            return;
        }
        if (result.reachable()) {
            mIndirectProbes.remove(result.nonce());
            mAvoidUntilMillis.put(probe.mVm.id(), nowMillis + AVOID_PATH_FAULT_MILLIS);
            mContext.count(GossipEvent.PATH_FAULT);
            return;
        }
        probe.mFailedCount++;
        if (probe.mFailedCount == probe.mHelperCount) {
            mIndirectProbes.remove(result.nonce());
            raiseSuspicion(probe.mVm, nowMillis);
        }
    }

    void onSuspected(String vm, long nowMillis) {
        mSuspectSinceMillis.putIfAbsent(vm, nowMillis);
    }

    void onAlive(String vm) {
        mSuspectSinceMillis.remove(vm);
        mAvoidUntilMillis.remove(vm);
    }

    /** Expires indirect probes and returns the peers whose suspicion has timed out. */
    List<String> tick(long nowMillis) {
        Iterator<IndirectProbe> probes = mIndirectProbes.values().iterator();
        while (probes.hasNext()) {
            IndirectProbe probe = probes.next();
            if (nowMillis >= probe.mDeadlineMillis) {
                probes.remove();
                if (probe.mFailedCount > 0) {
                    raiseSuspicion(probe.mVm, nowMillis);
                }
            }
        }
        long dueMillis = nowMillis - mContext.settings().suspicionTimeoutMillis();
        List<String> unreachable =
                mSuspectSinceMillis.entrySet().stream()
                        .filter(entry -> entry.getValue() <= dueMillis)
                        .map(Map.Entry::getKey)
                        .toList();
        unreachable.forEach(mSuspectSinceMillis::remove);
        return unreachable;
    }

    private void raiseSuspicion(Vm vm, long nowMillis) {
        mContext.count(GossipEvent.SUSPICION_RAISED);
        mSuspicionHandler.accept(vm, nowMillis);
    }
}
