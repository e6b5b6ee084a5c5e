package org.apricotgauge.target;

import java.util.function.Predicate;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What all requests of one guard share.
 *
 * @param client sends to the targets of this VM
 * @param ledger which attempts may start
 * @param scheduler runs timeouts
 * @param ticker time of ledger and queues
 * @param observer hears how requests ended
 * @param acceptsRequests whether a target is there and not leaving
 * @param dialect headers of the site's targets
 * @param exitDetector tells which targets ended while they ran requests
 * @param quarantine which requests are kept from targets
 * @param log tells which requests were sent to targets
 * @param metrics counters
 */
record GuardContext(
        HttpClient client,
        AttemptLedger ledger,
        Scheduler scheduler,
        Ticker ticker,
        GuardObserver observer,
        Predicate<Target> acceptsRequests,
        SiteDialect dialect,
        ExitDetector exitDetector,
        QuarantineTable quarantine,
        TargetRunLog log,
        GuardMetrics metrics) {}
