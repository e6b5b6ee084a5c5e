package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.target.ExitDetector;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What all requests of one entry share.
 *
 * @param guards talks to the guards of other VMs
 * @param directClient sends to targets that have no node beside them
 * @param attemptIds names attempts
 * @param retryPolicy whether a request is sent again
 * @param scheduler runs timeouts
 * @param ticker the entry's clock
 * @param observer hears how attempts ended
 * @param probes which ejected targets to try
 * @param lagMeter how late this process runs
 * @param dialect headers of the site's callers and targets
 * @param targetAccess which ways lead to a target
 * @param exitDetector tells which targets ended while requests from here ran
 * @param quarantine which requests are kept from targets
 * @param requestLog tells how requests ended
 * @param metrics counters
 */
record EntryContext(
        GuardClient guards,
        HttpClient directClient,
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
        EntryMetrics metrics) {

    /**
     * Returns whether there is a guard beside the target that did not refuse a connection just now.
     */
    boolean hasReachableGuard(Candidate candidate) {
        return candidate.guard() != null && !guards.isUnavailable(candidate.guard());
    }
}
