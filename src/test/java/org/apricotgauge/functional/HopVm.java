package org.apricotgauge.functional;

import com.codahale.metrics.MetricRegistry;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.caller.EntryHandler;
import org.apricotgauge.caller.MemberRateLimiter;
import org.apricotgauge.decision.quarantine.NoopQuarantineListener;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.RoutingTableFactory;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.stop.PeerStops;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.server.Server;

/** One VM: its servers, its relay, and what it counts. */
final class HopVm {
    final MetricRegistry mRegistry = new MetricRegistry();
    final HookedTicker mStopTicker = new HookedTicker();
    final StopSchedule mStop = new StopSchedule(mStopTicker);
    final PeerStops mPeerStops = new PeerStops(Ticker.system());
    final QuarantineTable mQuarantine =
            new QuarantineTable(Ticker.system(), new NoopQuarantineListener());
    final Set<String> mToldLeaving = ConcurrentHashMap.newKeySet();
    final RoutingTableFactory mTables;
    volatile MemberRateLimiter mLimits = MemberRateLimiter.UNBOUNDED;
    GuardClient mGuards;
    GuardHandler mGuard;
    EntryHandler mEntry;
    Server mGuardServer;
    Server mEntryServer;
    Relay mRelay;

    HopVm(String id) {
        mTables = new RoutingTableFactory(id, "here");
    }

    int callerPort() {
        return HttpServerFactory.portOf(mEntryServer);
    }

    Relay relay() {
        return mRelay;
    }

    /** Returns the ids of targets that this VM's node was told of, by themselves, as leaving. */
    Set<String> toldLeaving() {
        return mToldLeaving;
    }

    QuarantineTable quarantine() {
        return mQuarantine;
    }

    GuardHandler guard() {
        return mGuard;
    }

    /** Returns what this VM's entry sends attempts with. */
    GuardClient guards() {
        return mGuards;
    }

    /** Returns where entries of other VMs reach this VM's guard. */
    Address guardAddress() {
        return new Address("127.0.0.1", mRelay.port());
    }

    /** Returns the stops that other guards announced to this VM's node. */
    PeerStops peerStops() {
        return mPeerStops;
    }

    EntryHandler entry() {
        return mEntry;
    }

    /** Runs an action each time that the time left to this VM's node is read. */
    void onStopRead(Runnable action) {
        mStopTicker.onRead(action);
    }

    /** Returns when this VM's node ends; its entry and guard read it. */
    StopSchedule stop() {
        return mStop;
    }

    long count(String counter) {
        return mRegistry.counter(counter).getCount();
    }
}
