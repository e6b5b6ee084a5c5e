package org.apricotgauge.decision.attempt;

import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Repeatability;

/**
 * Decides whether a request is idempotent and whether a further attempt is made.
 *
 * <pre>{@code
 * boolean idempotent = RetryPolicy.isIdempotent("POST", Repeatability.BY_METHOD, header);
 * RetryDecision next = policy.decide(progress, remainingMillis, () -> budget.tryRetry(now));
 * }</pre>
 *
 * <p>Idempotent methods are those of RFC 9110, section 9.2.2. Methods are case-sensitive, and an
 * unknown method is not idempotent.
 *
 * @param maxAttempts most attempts of one submission, including the first
 * @param minRemainingMillis least time to the deadline that a retry needs
 */
public record RetryPolicy(int maxAttempts, long minRemainingMillis) {
    /** Allows up to three attempts; a retry needs at least 20 ms to the deadline. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(3, 20);

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** Includes 500: a degraded target may answer it for seconds while other targets serve. */
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(500, 502, 503, 504);

    public RetryPolicy {
        Checks.inRange("maxAttempts", maxAttempts, 1, 10);
        Checks.inRange("minRemainingMillis", minRemainingMillis, 0, 60_000);
    }

    /**
     * Returns whether the request may run more than once.
     *
     * <p>A "no" in the route or in the header always takes precedence: a caller may restrict what
     * the operator allows, and may extend it only where the operator leaves it to the method.
     */
    public static boolean isIdempotent(
            String method, Repeatability route, IdempotentHeader header) {
        if (route == Repeatability.NEVER || header == IdempotentHeader.NO) {
            return false;
        }
        return route == Repeatability.ALWAYS
                || header == IdempotentHeader.YES
                || IDEMPOTENT_METHODS.contains(method);
    }

    /** Decides what follows an attempt, without a separate limit on runs. */
    public RetryDecision decide(
            SubmissionProgress progress, long remainingMillis, BooleanSupplier budget) {
        return decide(progress, remainingMillis, maxAttempts, budget);
    }

    /**
     * Decides what follows an attempt that has ended.
     *
     * @param remainingMillis time left to the caller's deadline; not positive once it has passed
     * @param maxRuns most targets that may run the request, as configured for its route
     * @param budget called at most once, and only when everything else allows another attempt
     */
    public RetryDecision decide(
            SubmissionProgress progress,
            long remainingMillis,
            int maxRuns,
            BooleanSupplier budget) {
        Checks.notNull("progress.lastOutcome", progress.lastOutcome());
        RetryDecision decision = decideByOutcome(progress);
        if (decision instanceof RetryDecision.Finish) {
            return decision;
        }
        boolean mayRetry =
                progress.attempts() < maxAttempts
                        && progress.possibleRuns() < maxRuns
                        && remainingMillis >= minRemainingMillis
                        && budget.getAsBoolean();
        return mayRetry ? decision : finish(progress);
    }

    /**
     * Returns the target restriction of the next attempt.
     *
     * <p>An idempotent request may probe a suspect target as long as it has another run left; its
     * last run has the same restriction as a non-idempotent request. The last attempt has no
     * restriction, since a refusal would fail the request in any case.
     *
     * @param maxRuns most targets that may run the request, as configured for its route
     */
    public HealthGate.TargetRestriction targetRestriction(
            SubmissionProgress progress, int maxRuns) {
        if (progress.attempts() + 1 >= maxAttempts) {
            return HealthGate.TargetRestriction.NONE;
        }
        boolean mayFailOnce = progress.idempotent() && progress.possibleRuns() + 1 < maxRuns;
        return mayFailOnce
                ? HealthGate.TargetRestriction.MAY_TRY
                : HealthGate.TargetRestriction.STEADY;
    }

    private static RetryDecision decideByOutcome(SubmissionProgress progress) {
        Outcome last = progress.lastOutcome();
        if (last instanceof Outcome.Answered answered) {
            boolean retryable =
                    progress.idempotent() && RETRYABLE_STATUSES.contains(answered.status());
            return retryable ? new RetryDecision.Retry() : finish(progress);
        }
        if (isQuarantined(last) || isKeyRunning(last)) {
            return finish(progress);
        }
        if (progress.idempotent()) {
            return new RetryDecision.Retry();
        }
        // A non-idempotent request is retried only if no attempt can have run, or if the guard that
        // may have run it detects the duplicate by its key.
        if (!progress.mayHaveRun()) {
            return new RetryDecision.Retry();
        }
        return progress.hasKey() ? new RetryDecision.RetryAtSameGuard() : finish(progress);
    }

    private static boolean isQuarantined(Outcome outcome) {
        if (outcome instanceof Outcome.Unknown unknown) {
            return unknown.reason() == UnknownReason.QUARANTINED;
        }
        return outcome instanceof Outcome.NotRun notRun
                && notRun.reason() == NotRunReason.QUARANTINED;
    }

    // The owner of the key would say the same again.
    private static boolean isKeyRunning(Outcome outcome) {
        return outcome instanceof Outcome.Unknown unknown
                && unknown.reason() == UnknownReason.KEY_RUNNING;
    }

    private static RetryDecision finish(SubmissionProgress progress) {
        // "Not run" of the last attempt does not apply to earlier ones: an idempotent request that
        // ran and got a 503 would be reported as not run once its retry is refused.
        if (progress.lastOutcome() instanceof Outcome.NotRun && progress.mayHaveRun()) {
            return new RetryDecision.Finish(new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT));
        }
        return new RetryDecision.Finish(progress.lastOutcome());
    }
}
