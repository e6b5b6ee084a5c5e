package org.apricotgauge.target;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters and timer of the last hop. */
record GuardMetrics(
        Counter requests,
        Counter answered,
        Counter notRun,
        Counter unknown,
        Counter quarantined,
        Counter hung,
        Counter attemptsOffered,
        Counter fences,
        Counter badRequests,
        Counter foreignAnswers,
        Counter limitedTargets,
        Counter stopDeclined,
        Counter stopHandedOver,
        Counter stopUnfinished,
        Timer serviceTime) {

    static GuardMetrics of(MetricRegistry registry) {
        return new GuardMetrics(
                registry.counter("guard.requests"),
                registry.counter("guard.answered"),
                registry.counter("guard.not_run"),
                registry.counter("guard.unknown"),
                registry.counter("guard.quarantined"),
                registry.counter("guard.hung"),
                registry.counter("guard.attempts.offered"),
                registry.counter("guard.fences"),
                registry.counter("guard.bad_requests"),
                registry.counter("guard.foreign_answers"),
                registry.counter("guard.limited_targets"),
                registry.counter("guard.stop.declined"),
                registry.counter("guard.stop.handed_over"),
                registry.counter("guard.stop.unfinished"),
                registry.timer("guard.service_time"));
    }
}
