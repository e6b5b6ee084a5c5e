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
final class Liveness {
    private static final int HELPERS = 3;
    private static final int MAX_CHECKS = 64;
    private static final int MAX_PROBES = 8;
    private static final int MAX_AVOIDED = 1_024;
    private static final long AVOID_MILLIS = 10_000;
    private static final long AVOID_PATH_FAULT_MILLIS = 60_000;
    private static final long CHECK_MILLIS = 5_000;

    private static final class Check {
        final Vm mVm;
        final long mDeadlineMillis;
        final int mAsked;
        int mFailed;

        Check(Vm vm, long deadlineMillis, int asked) {
            mVm = vm;
            mDeadlineMillis = deadlineMillis;
            mAsked = asked;
        }
    }

    private record Requester(long link, long nonce) {}

    private final GossipContext mContext;
    private final PeerPort<?> mPort;
    private final LocalHealth mHealth;
    private final BiConsumer<Vm, Long> mAccuse;
    private final Map<Long, Check> mChecks = new HashMap<>();
    private final Map<Long, Requester> mProbes = new HashMap<>();
    private final Map<String, Long> mSuspectSinceMillis = new HashMap<>();
    private final Map<String, Long> mAvoidUntilMillis =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_AVOIDED;
                }
            };
    private long mNextNonce = 1;

    Liveness(
            GossipContext context,
            PeerPort<?> port,
            LocalHealth health,
            BiConsumer<Vm, Long> accuse) {
        mContext = context;
        mPort = port;
        mHealth = health;
        mAccuse = accuse;
    }

    boolean avoided(String vm, long nowMillis) {
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
                        || mChecks.values().stream().anyMatch(c -> c.mVm.id().equals(vm.id()));
        if (underCheck || mChecks.size() >= MAX_CHECKS) {
            return;
        }
        List<Link> others =
                mContext.links()
                        .where(link -> link.established() && !link.mRemote.id().equals(vm.id()));
        List<Link> helpers = mContext.sample(others, HELPERS);
        if (helpers.isEmpty()) {
            return;
        }
        long nonce = mNextNonce++;
        long deadlineMillis = nowMillis + mHealth.stretch(CHECK_MILLIS);
        mChecks.put(nonce, new Check(vm, deadlineMillis, helpers.size()));
        for (Link helper : helpers) {
            mPort.send(helper.mId, new PeerMessage.ProbeRequest(nonce, vm));
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
                                                        && other.mLastHeardMillis >= recentMillis)
                        > 0;
        if (heard) {
            mPort.send(link.mId, new PeerMessage.ProbeResult(request.nonce(), true));
            return false;
        }
        return mProbes.size() < MAX_PROBES;
    }

    void onProbeDialled(long probe, long requester, long nonce) {
        mProbes.put(probe, new Requester(requester, nonce));
    }

    /** A probe that we dialled ended; returns whether it was on behalf of another node. */
    boolean onProbeEnded(long probe, boolean reachable) {
        Requester requester = mProbes.remove(probe);
        if (requester == null) {
            return false;
        }
        mPort.send(requester.link(), new PeerMessage.ProbeResult(requester.nonce(), reachable));
        return true;
    }

    void onProbeResult(PeerMessage.ProbeResult result, long nowMillis) {
        Check check = mChecks.get(result.nonce());
        if (check == null) {
            return;
        }
        if (result.reachable()) {
            mChecks.remove(result.nonce());
            mAvoidUntilMillis.put(check.mVm.id(), nowMillis + AVOID_PATH_FAULT_MILLIS);
            mContext.count(GossipEvent.PATH_FAULT);
            return;
        }
        check.mFailed++;
        if (check.mFailed == check.mAsked) {
            mChecks.remove(result.nonce());
            accuse(check.mVm, nowMillis);
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
        Iterator<Check> checks = mChecks.values().iterator();
        while (checks.hasNext()) {
            Check check = checks.next();
            if (nowMillis >= check.mDeadlineMillis) {
                checks.remove();
                if (check.mFailed > 0) {
                    accuse(check.mVm, nowMillis);
                }
            }
        }
        long dueMillis = nowMillis - mContext.settings().suspicionMillis();
        List<String> gone =
                mSuspectSinceMillis.entrySet().stream()
                        .filter(entry -> entry.getValue() <= dueMillis)
                        .map(Map.Entry::getKey)
                        .toList();
        gone.forEach(mSuspectSinceMillis::remove);
        return gone;
    }

    private void accuse(Vm vm, long nowMillis) {
        mContext.count(GossipEvent.SUSPICION_RAISED);
        mAccuse.accept(vm, nowMillis);
    }
}
