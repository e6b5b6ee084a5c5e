package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.apricotgauge.decision.access.Access;

/**
 * Counts denied requests by reason.
 *
 * <pre>{@code
 * denials.count(Access.Reason.KEY_UNKNOWN); // entry.denied.key_unknown
 * }</pre>
 *
 * <p>Thread-safe.
 */
final class DenialCounters {
    private static final String PREFIX = "entry.denied.";

    private final Map<Access.Reason, Counter> mByReason;

    private DenialCounters(Map<Access.Reason, Counter> byReason) {
        mByReason = byReason;
    }

    /** Creates the counters in a registry. */
    static DenialCounters of(MetricRegistry registry) {
        Map<Access.Reason, Counter> byReason = new EnumMap<>(Access.Reason.class);
        for (Access.Reason reason : Access.Reason.values()) {
            String name = PREFIX + reason.name().toLowerCase(Locale.ROOT);
            byReason.put(reason, registry.counter(name));
        }
        return new DenialCounters(byReason);
    }

    /** Counts one denied request. */
    void count(Access.Reason reason) {
        mByReason.get(reason).inc();
    }
}
