package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.LocalFirstPolicy;
import org.apricotgauge.decision.routing.LocalSlots;
import org.apricotgauge.decision.routing.RunTimeComparison;
import org.apricotgauge.decision.routing.ServiceTable;

/**
 * Prefers the target beside the entry for the first attempt of a request.
 *
 * <pre>{@code
 * localFirst.decide(table, ticker.nanos()).filter(LocalFirstPolicy.Decision::stays)…
 * }</pre>
 *
 * <p>Counts each decision by its reason. Thread-safe.
 */
final class LocalFirst {
    /** For an entry that chooses the target beside it like any other. */
    static final LocalFirst OFF = new LocalFirst(false, LocalSlots.NONE, new MetricRegistry());

    private final boolean mEnabled;
    private final LocalSlots mSlots;
    private final RunTimeComparison mRunTimes = new RunTimeComparison();
    private final Map<LocalFirstPolicy.Reason, Counter> mDecisions =
            new EnumMap<>(LocalFirstPolicy.Reason.class);

    /**
     * Creates the part of one entry.
     *
     * @param enabled whether the target beside the entry is preferred
     * @param slots slots of the targets beside the entry
     * @param registry registers a counter for each reason
     */
    LocalFirst(boolean enabled, LocalSlots slots, MetricRegistry registry) {
        mEnabled = enabled;
        mSlots = slots;
        for (LocalFirstPolicy.Reason reason : LocalFirstPolicy.Reason.values()) {
            String name = "entry.local_first." + reason.name().toLowerCase(Locale.ROOT);
            mDecisions.put(reason, registry.counter(name));
        }
    }

    /** Decides on the first attempt of a request; empty if the entry has no preference. */
    Optional<LocalFirstPolicy.Decision> decide(ServiceTable table, long nowNanos) {
        if (!mEnabled) {
            return Optional.empty();
        }
        LocalFirstPolicy.Decision decision =
                LocalFirstPolicy.decide(
                        table,
                        mSlots,
                        one -> mRunTimes.slownessOf(one.target().id()),
                        ThreadLocalRandom.current(),
                        nowNanos);
        mDecisions.get(decision.reason()).inc();
        return Optional.of(decision);
    }

    /** Records the run time of an attempt that did not wait for a slot. */
    void recordRun(Candidate candidate, String routeId, long millis) {
        if (!mEnabled) {
            return;
        }
        String workKind = candidate.target().service() + '/' + routeId;
        if (mSlots.find(candidate.target().id()).isPresent()) {
            mRunTimes.recordBeside(candidate.target().id(), workKind, millis);
        } else {
            mRunTimes.recordElsewhere(workKind, millis);
        }
    }
}
