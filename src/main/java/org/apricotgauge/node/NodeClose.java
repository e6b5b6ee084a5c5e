package org.apricotgauge.node;

import org.apricotgauge.http.ServerConnections;
import org.apricotgauge.model.Checks;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.server.Server;

/** Closes the ports of a node and then its other parts, and measures how long each takes. */
final class NodeClose {
    private final StopSchedule mStop;
    private final Ticker mTicker;
    private final Server mCallerServer;
    private final Server mGuardServer;

    NodeClose(StopSchedule stop, Ticker ticker, Server callerServer, Server guardServer) {
        mStop = Checks.notNull("stop", stop);
        mTicker = Checks.notNull("ticker", ticker);
        mCallerServer = Checks.notNull("callerServer", callerServer);
        mGuardServer = Checks.notNull("guardServer", guardServer);
    }

    /** Closes all; what the ports still answer needs the state of the other parts. */
    ProcessReport.ProcessEnded close(Runnable others) {
        long beginMillis = mTicker.millis();
        ServerConnections.Counts entry = new ServerConnections(mCallerServer).count();
        NodeHttp.stop(mCallerServer::stop);
        long entryClosedMillis = mTicker.millis();
        ServerConnections.Counts guard = new ServerConnections(mGuardServer).count();
        NodeHttp.stop(mGuardServer::stop);
        long guardClosedMillis = mTicker.millis();
        others.run();
        return new ProcessReport.ProcessEnded(
                mStop.elapsedMillis(),
                entryClosedMillis - beginMillis,
                guardClosedMillis - entryClosedMillis,
                mTicker.millis() - guardClosedMillis,
                entry,
                guard);
    }
}
