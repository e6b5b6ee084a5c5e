package org.apricotgauge.decision.routing;

import java.util.function.Predicate;
import org.apricotgauge.decision.health.HealthGate;

/**
 * Decides whether a running request may be cancelled in favour of another target.
 *
 * <pre>{@code
 * if (FailoverPolicy.hasAlternative(serviceTable, "t-1", nowNanos)) {
 *     exchange.abort(cause);   // the entry sends the request to another target
 * }
 * }</pre>
 *
 * <p>A run that is cancelled while all other targets are busy or suspect is lost: its caller gets
 * an error though a target was working on the request.
 */
public final class FailoverPolicy {
    private FailoverPolicy() {}

    /**
     * Returns whether another target of the service is known to accept the retry of a request.
     *
     * @param table the service and its targets
     * @param targetId id of the target that runs the request
     * @param nowNanos current time, in nanoseconds
     */
    public static boolean hasAlternative(ServiceTable table, String targetId, long nowNanos) {
        Predicate<Candidate> isOther = candidate -> !candidate.target().id().equals(targetId);
        return table.all().stream()
                .filter(isOther)
                .anyMatch(candidate -> acceptsRetry(candidate, nowNanos));
    }

    private static boolean acceptsRetry(Candidate candidate, long nowNanos) {
        TargetLoad load = candidate.load();
        return candidate.isEligible()
                && !load.isFull(candidate.target().slots(), nowNanos)
                && load.degradationProbability(nowNanos) < HealthGate.NON_IDEMPOTENT_LIMIT;
    }
}
