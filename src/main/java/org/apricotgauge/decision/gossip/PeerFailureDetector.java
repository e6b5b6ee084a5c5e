package org.apricotgauge.decision.gossip;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apricotgauge.model.Vm;

/**
 * Finds peers that cannot be reached, after SWIM (DSN 2002): before it accuses, a node asks others
 * to try.
 *
 * <p>If any of them gets through, the path is at fault (often one way only), not the peer: the peer
 * is then merely avoided from here. If nobody answers at all, this node may be the one that is cut
 * off, and accuses nobody.
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

        IndirectProbe(Vm vm, long deadlineMillis, int asked) {
            mVm = vm;
            mDeadlineMillis = deadlineMillis;
            mHelperCount = asked;
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
            PeerTransport<?> port,
            LocalHealthMultiplier health,
            BiConsumer<Vm, Long> accuse) {
        mContext = context;
        mTransport = port;
        mHealthMultiplier = health;
        mSuspicionHandler = accuse;
    }

    boolean isAvoided(String vm, long nowMillis) {
        return mAvoidUntilMillis.getOrDefault(vm, Long.MIN_VALUE) > nowMillis;
    }

    /** A peer has no room for a link: tries others first. */
    void avoid(String vm, long nowMillis) {
        mAvoidUntilMillis.put(vm, nowMillis + AVOID_MILLIS);
    }

    /** A fresh dial of a peer failed: asks others to try. */
    void onUnreachable(Vm vm, long nowMillis) {
        avoid(vm.id(), nowMillis);
        boolean underCheck =
                mSuspectSinceMillis.containsKey(vm.id())
                        || mIndirectProbes.values().stream()
                                .anyMatch(c -> c.mVm.id().equals(vm.id()));
        if (underCheck || mIndirectProbes.size() >= MAX_INDIRECT_PROBES) {
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
     * Another node asks us to try a peer.
     *
     * @return whether a probe has to be dialled; it is then named by {@link #onProbeDialled}
     */
    boolean onProbeRequest(Link link, PeerMessage.ProbeRequest request, long nowMillis) {
        long recentMillis = nowMillis - 2 * mContext.settings().heartbeatMillis();
        boolean heard =
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
        if (heard) {
            mTransport.send(link.mId, new PeerMessage.ProbeResult(request.nonce(), true));
            return false;
        }
        return mProbesForOthers.size() < MAX_PROBES_FOR_OTHERS;
    }

    void onProbeDialled(long probe, long requester, long nonce) {
        mProbesForOthers.put(probe, new Requester(requester, nonce));
    }

    /** A probe that we dialled ended; returns whether it was on behalf of another node. */
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
        IndirectProbe check = mIndirectProbes.get(result.nonce());
        if (check == null) {
            return;
        }
        if (result.reachable()) {
            mIndirectProbes.remove(result.nonce());
            mAvoidUntilMillis.put(check.mVm.id(), nowMillis + AVOID_PATH_FAULT_MILLIS);
            mContext.count(GossipEvent.PATH_FAULT);
            return;
        }
        check.mFailedCount++;
        if (check.mFailedCount == check.mHelperCount) {
            mIndirectProbes.remove(result.nonce());
            raiseSuspicion(check.mVm, nowMillis);
        }
    }

    void onSuspected(String vm, long nowMillis) {
        mSuspectSinceMillis.putIfAbsent(vm, nowMillis);
    }

    void onAlive(String vm) {
        mSuspectSinceMillis.remove(vm);
        mAvoidUntilMillis.remove(vm);
    }

    /** Returns the peers whose suspicion has now stood long enough. */
    List<String> tick(long nowMillis) {
        Iterator<IndirectProbe> checks = mIndirectProbes.values().iterator();
        while (checks.hasNext()) {
            IndirectProbe check = checks.next();
            if (nowMillis >= check.mDeadlineMillis) {
                checks.remove();
                if (check.mFailedCount > 0) {
                    raiseSuspicion(check.mVm, nowMillis);
                }
            }
        }
        long dueMillis = nowMillis - mContext.settings().suspicionTimeoutMillis();
        List<String> gone =
                mSuspectSinceMillis.entrySet().stream()
                        .filter(entry -> entry.getValue() <= dueMillis)
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(mSuspectSinceMillis::remove);
        return gone;
    }

    private void raiseSuspicion(Vm vm, long nowMillis) {
        mContext.count(GossipEvent.SUSPICION_RAISED);
        mSuspicionHandler.accept(vm, nowMillis);
    }
}
