package org.apricotgauge.operator;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.model.Checks;

/**
 * Where the administration API gets its values from; each source must be quick and thread-safe.
 *
 * <pre>{@code
 * new AdminSources(node::readiness, node::status, ring::read, quarantine, uses, registry);
 * }</pre>
 *
 * @param readiness for {@code /ready}
 * @param status for {@code /status}
 * @param events for {@code /events}
 * @param quarantine for {@code /quarantine}
 * @param allotments for {@code /allotments}
 * @param metrics for {@code /metrics} and {@code /metrics.json}
 */
public record AdminSources(
        ReadinessSource readiness,
        StatusSource status,
        EventSource events,
        QuarantineSource quarantine,
        AllotmentSource allotments,
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

    /** Knows which requests are kept from targets because they crash them. */
    public interface QuarantineSource {

        /** Returns the requests that were at work in crashes, those that are held first. */
        List<HeldRequest> read();

        /**
         * Lets a request through again, at this node and then at all others.
         *
         * @return false if nothing is held against it
         * @throws IllegalArgumentException if the fingerprint is malformed
         */
        boolean lift(String fingerprint);

        /** Returns a source that knows of no crash. */
        static QuarantineSource empty() {
            return new QuarantineSource() {
                @Override
                public List<HeldRequest> read() {
                    return List.of();
                }

                @Override
                public boolean lift(String fingerprint) {
                    return false;
                }
            };
        }
    }

    /** Knows what members with limits have asked of the node. */
    @FunctionalInterface
    public interface AllotmentSource {

        /** Returns the members that asked lately, in the order of their names. */
        List<MemberUse> read();
    }

    /** Checks the parts. */
    public AdminSources {
        Checks.notNull("readiness", readiness);
        Checks.notNull("status", status);
        Checks.notNull("events", events);
        Checks.notNull("quarantine", quarantine);
        Checks.notNull("allotments", allotments);
        Checks.notNull("metrics", metrics);
    }
}
