package org.apricotgauge.node;

import java.util.HashSet;
import java.util.Set;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.RefusalReason;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.decision.gossip.WatcherElection;
import org.apricotgauge.event.EventRecorder;
import org.apricotgauge.event.PatchRefused;
import org.apricotgauge.event.PeerAlive;
import org.apricotgauge.event.PeerSuspected;
import org.apricotgauge.event.WatchReleased;
import org.apricotgauge.event.WatchTakenOver;
import org.apricotgauge.model.Vm;

/** Records events of the control plane: suspicions, changes of the watcher, refused patches. */
final class ControlEventRecorder {
    private final EventRecorder mEvents;
    private Set<String> mSuspected = Set.of();
    private WatcherElection.Role mRole = WatcherElection.Role.PASSIVE;

    ControlEventRecorder(EventRecorder events) {
        mEvents = events;
    }

    /** Records which peers became suspected, and which are reachable again. */
    synchronized void recordView(VmView view) {
        Set<String> suspected = new HashSet<>();
        for (Vm vm : view.nodes()) {
            if (view.unreachable(vm.id())) {
                suspected.add(vm.id());
            }
        }
        for (String peer : suspected) {
            if (!mSuspected.contains(peer)) {
                mEvents.record(new PeerSuspected(peer, "no node that was asked reaches it"));
            }
        }
        for (String peer : mSuspected) {
            // A peer that was removed or is leaving did not become reachable again.
            if (!suspected.contains(peer) && !view.leaving(peer) && view.vm(peer) != null) {
                mEvents.record(new PeerAlive(peer, "a node reaches it"));
            }
        }
        mSuspected = Set.copyOf(suspected);
    }

    /** Records whether this node took over or released the watch of the platform. */
    synchronized void recordRole(WatcherElection.Role role) {
        boolean wasWatcher = mRole == WatcherElection.Role.WATCH;
        boolean isWatcher = role == WatcherElection.Role.WATCH;
        if (isWatcher && !wasWatcher) {
            mEvents.record(new WatchTakenOver("elected in its failure domain"));
        }
        if (wasWatcher && !isWatcher) {
            boolean isLost = role == WatcherElection.Role.RETRY;
            mEvents.record(new WatchReleased(isLost ? "platform lost" : "another node watches"));
        }
        mRole = role;
    }

    /** Records that an entry of the platform's list was refused as a whole. */
    void recordRefusal(LogEntry entry, FoldResult.Refused refused) {
        long currentVersion = refused.history().version();
        RefusalReason first = refused.reasons().get(0);
        long baseVersion =
                first instanceof RefusalReason.NotOnCurrentVersion reason
                        ? reason.baseVersion()
                        : currentVersion;
        mEvents.record(
                new PatchRefused(
                        "position " + entry.position(),
                        Math.max(0, baseVersion),
                        currentVersion,
                        first.message()));
    }
}
