package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.target.ExitDetector;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Dependencies that all requests of one entry share.
 *
 * @param guards client for guards
 * @param directClient client for targets without a guard, and for the predecessor
 * @param attemptIds generator of attempt ids
 * @param retryPolicy decides on retries
 * @param scheduler scheduler of timeouts
 * @param ticker the entry's clock
 * @param observer is notified of attempts and requests
 * @param probes source of ejected targets to probe
 * @param lagMeter scheduling lag of this process
 * @param dialect header conventions of the site's callers and targets
 * @param targetAccess how targets can be reached
 * @param exitDetector detects targets that ended while they ran requests of this entry
 * @param quarantine table of quarantined requests
 * @param requestLog log of ended requests
 * @param stop when this node ends
 * @param heldAnswers reads small answers whole
 * @param largeBodies keeps and withholds large bodies
 * @param exchanges exchanges in flight
 * @param runTimes time that requests of each route take
 * @param localFirst prefers the target beside the entry
 * @param shedRetries retries of the services whose targets shed requests
 * @param metrics counters of the entry
 */
record EntryContext(
        GuardClient guards,
        UpstreamClient directClient,
        AttemptIdGenerator attemptIds,
        RetryPolicy retryPolicy,
        Scheduler scheduler,
        Ticker ticker,
        EntryObserver observer,
        ProbeSource probes,
        LagMeter lagMeter,
        SiteDialect dialect,
        EntryOptions.TargetAccess targetAccess,
        ExitDetector exitDetector,
        QuarantineTable quarantine,
        RequestLog requestLog,
        StopSchedule stop,
        HeldAnswers heldAnswers,
        LargeBodies largeBodies,
        ExchangesInFlight exchanges,
        RouteRunTimes runTimes,
        LocalFirst localFirst,
        ShedRetries shedRetries,
        EntryMetrics metrics) {

    /** Returns whether the target has a guard to which no connection has failed recently. */
    boolean hasReachableGuard(Candidate candidate) {
        return candidate.guard() != null && !guards.isUnavailable(candidate.guard());
    }
}
