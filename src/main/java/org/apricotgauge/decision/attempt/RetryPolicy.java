package org.apricotgauge.decision.attempt;

import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Repeatability;

/**
 * Decides whether a request may run more than once, and whether it is sent again.
 *
 * <pre>{@code
 * boolean repeatable = RepeatPolicy.isRepeatable("POST", Repeatability.BY_METHOD, header);
 * RetryDecision next = policy.decide(progress, leftMillis, budget::tryRetry);
 * }</pre>
 *
 * <p>Idempotent methods are those of RFC 9110, section 9.2.2; methods are case-sensitive and an
 * unknown one is not idempotent.
 *
 * @param maxAttempts attempts of one submission, the first included
 * @param minRemainingMillis with less time left to the deadline nothing is sent again
 */
public record RetryPolicy(int maxAttempts, long minRemainingMillis) {
    /** Up to three attempts, the last with 20 ms to go at the least. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(3, 20);

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** A half-broken target answers 500 for seconds where its neighbours would serve. */
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(500, 502, 503, 504);

    /** Checks the parts. */
    public RetryPolicy {
        Checks.inRange("maxAttempts", maxAttempts, 1, 10);
        Checks.inRange("minLeftMillis", minRemainingMillis, 0, 60_000);
    }

    /**
     * Tells whether the request may run more than once.
     *
     * <p>A "no" in the route or in the header always wins: a caller may narrow what the operator
     * allows, and may widen it only where the operator left it to the method.
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

    /** Decides what follows an attempt of a request whose runs nothing else bounds. */
    public RetryDecision decide(
            SubmissionProgress progress, long leftMillis, BooleanSupplier budget) {
        return decide(progress, leftMillis, maxAttempts, budget);
    }

    /**
     * Decides what follows an attempt that has ended.
     *
     * @param leftMillis time left to the caller's deadline; not positive once it has passed
     * @param maxRuns most targets that may run the request, as its route says
     * @param budget asked at most once, and only when everything else allows another attempt
     */
    public RetryDecision decide(
            SubmissionProgress progress, long leftMillis, int maxRuns, BooleanSupplier budget) {
        Checks.notNull("progress.last", progress.lastOutcome());
        RetryDecision wish = decideByOutcome(progress);
        if (wish instanceof RetryDecision.Finish) {
            return wish;
        }
        boolean mayGoOn =
                progress.attempts() < maxAttempts
                        && progress.possibleRuns() < maxRuns
                        && leftMillis >= minRemainingMillis
                        && budget.getAsBoolean();
        return mayGoOn ? wish : finish(progress);
    }

    /**
     * Returns how much of a risk the next attempt may run.
     *
     * <p>What may repeat can find out for all whether a suspect target is well again, as long as a
     * further run is left to it; its last run goes where a booking would go. An attempt beyond
     * which there is none takes whatever target there is: a refusal would help nobody.
     *
     * @param maxRuns most targets that may run the request, as its route says
     */
    public HealthGate.RiskTolerance riskTolerance(SubmissionProgress progress, int maxRuns) {
        if (progress.attempts() + 1 >= maxAttempts) {
            return HealthGate.RiskTolerance.NONE;
        }
        boolean mayFailOnce = progress.idempotent() && progress.possibleRuns() + 1 < maxRuns;
        return mayFailOnce ? HealthGate.RiskTolerance.MAY_TRY : HealthGate.RiskTolerance.STEADY;
    }

    private static RetryDecision decideByOutcome(SubmissionProgress progress) {
        Outcome last = progress.lastOutcome();
        if (last instanceof Outcome.Answered answered) {
            boolean again = progress.idempotent() && RETRYABLE_STATUSES.contains(answered.status());
            return again ? new RetryDecision.Retry() : finish(progress);
        }
        if (isQuarantined(last)) {
            return finish(progress);
        }
        if (progress.idempotent()) {
            return new RetryDecision.Retry();
        }
        // A request that must not repeat goes out again only if no attempt so far can have run, or
        // if the guard that may have run it will recognise it by its key.
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

    private static RetryDecision finish(SubmissionProgress progress) {
        // "Not run" of the last attempt says nothing of an earlier one: a repeatable request that
        // ran and got a 503 would be reported as not run once its retry is refused.
        if (progress.lastOutcome() instanceof Outcome.NotRun && progress.mayHaveRun()) {
            return new RetryDecision.Finish(new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT));
        }
        return new RetryDecision.Finish(progress.lastOutcome());
    }
}
