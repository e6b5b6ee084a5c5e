package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters of the entry. */
record EntryMetrics(
        Counter requests,
        Counter answered,
        Counter notRun,
        Counter unknown,
        Counter quarantined,
        Counter retries,
        Counter localAttempts,
        Counter hopAttempts,
        Counter hopsRefusedBusy,
        Counter fences,
        Counter attemptsSetAside,
        Counter guardsGone,
        Counter pathFaults,
        Counter mismatchedAnswers,
        Counter badRequests,
        Counter denied,
        Counter brokenAnswers,
        Counter stopRefused,
        Counter stopEnded,
        Counter predecessorRequests,
        Counter predecessorFallbacks,
        Timer totalTime) {

    static EntryMetrics of(MetricRegistry registry) {
        return new EntryMetrics(
                registry.counter("entry.requests"),
                registry.counter("entry.answered"),
                registry.counter("entry.not_run"),
                registry.counter("entry.unknown"),
                registry.counter("entry.quarantined"),
                registry.counter("entry.retries"),
                registry.counter("entry.attempts.local"),
                registry.counter("entry.attempts.hop"),
                registry.counter("entry.hops.refused_busy"),
                registry.counter("entry.fences"),
                registry.counter("entry.attempts.set_aside"),
                registry.counter("entry.guards_gone"),
                registry.counter("entry.path_faults"),
                registry.counter("entry.mismatched_answers"),
                registry.counter("entry.bad_requests"),
                registry.counter("entry.denied"),
                registry.counter("entry.broken_answers"),
                registry.counter("entry.stop.refused"),
                registry.counter("entry.stop.ended"),
                registry.counter("entry.predecessor_requests"),
                registry.counter("entry.predecessor_fallbacks"),
                registry.timer("entry.total_time"));
    }

    /** Counts an attempt that is submitted to a guard. */
    void countAttempt(boolean overHop) {
        (overHop ? hopAttempts : localAttempts).inc();
    }
}
