package org.apricotgauge.operator;

import com.codahale.metrics.MetricRegistry;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.model.Checks;

/**
 * Where the administration API gets its values from; each source must be quick and thread-safe.
 *
 * <pre>{@code
 * new AdminSources(node::readiness, node::status, ring::read, registry);
 * }</pre>
 *
 * @param readiness for {@code /ready}
 * @param status for {@code /status}
 * @param events for {@code /events}
 * @param metrics for {@code /metrics} and {@code /metrics.json}
 */
public record AdminSources(
        ReadinessSource readiness,
        StatusSource status,
        EventSource events,
        MetricRegistry metrics) {

    /** Says whether callers should be sent to the node. */
    @FunctionalInterface
    public interface ReadinessSource {

        /** Returns the present readiness. */
        Readiness read();
    }

    /** Says what operators see of the node. */
    @FunctionalInterface
    public interface StatusSource {

        /** Returns the present status. */
        NodeStatus read();
    }

    /** Holds the node's events. */
    @FunctionalInterface
    public interface EventSource {

        /** Returns events after a number, at most {@code limit}. */
        EventPage read(long since, int limit);
    }

    /** Checks the parts. */
    public AdminSources {
        Checks.notNull("readiness", readiness);
        Checks.notNull("status", status);
        Checks.notNull("events", events);
        Checks.notNull("metrics", metrics);
    }
}
