package org.apricotgauge.target;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.Target;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Collaborators that all requests of one guard share.
 *
 * @param client HTTP client for the targets of this VM
 * @param ledger decides which attempts may start
 * @param scheduler runs timeouts
 * @param ticker clock of the ledger and the queues
 * @param observer is notified of requests and of targets' state
 * @param acceptsRequests whether a target is registered and not leaving
 * @param hasAlternative whether another target can take over a request from this one
 * @param authenticatesByKey whether the site has API keys, which no target may get
 * @param dialect header convention of the site's targets
 * @param exitDetector detects targets that ended while they ran requests
 * @param quarantine requests that may not be sent to targets
 * @param log logs which requests were sent to targets
 * @param stop when this node ends
 * @param metrics counters of the guard
 */
record GuardContext(
        UpstreamClient client,
        AttemptLedger ledger,
        Scheduler scheduler,
        Ticker ticker,
        GuardObserver observer,
        Predicate<Target> acceptsRequests,
        Predicate<Target> hasAlternative,
        BooleanSupplier authenticatesByKey,
        SiteDialect dialect,
        ExitDetector exitDetector,
        QuarantineTable quarantine,
        TargetRunLog log,
        StopSchedule stop,
        GuardMetrics metrics) {

    /** Adds the time until this node ends; nothing unless it is stopping. */
    void addStopHeader(HttpFields.Mutable headers) {
        if (stop.hasBegun()) {
            headers.put(HeaderNames.STOP_MILLIS, stop.remainingMillis());
        }
    }

    /** Adds the headers of an acknowledgement. */
    void addAcknowledgementHeaders(HttpFields.Mutable headers) {
        observer.addAcknowledgementHeaders(headers);
        addStopHeader(headers);
    }

    /**
     * Adds the node's headers to the answer to an attempt; an entry beside the guard needs none.
     */
    void addAnswerHeaders(Target target, HopReply reply) {
        if (reply.isRemote()) {
            observer.addAnswerHeaders(target, reply.headers());
            addStopHeader(reply.headers());
        }
    }
}
