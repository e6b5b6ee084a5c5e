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
 * @param minLeftMillis with less time left to the deadline nothing is sent again
 */
public record RepeatPolicy(int maxAttempts, long minLeftMillis) {
    /** Up to three attempts, the last with 20 ms to go at the least. */
    public static final RepeatPolicy DEFAULT = new RepeatPolicy(3, 20);

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** A half-broken target answers 500 for seconds where its neighbours would serve. */
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(500, 502, 503, 504);

    /** Checks the parts. */
    public RepeatPolicy {
        Checks.inRange("maxAttempts", maxAttempts, 1, 10);
        Checks.inRange("minLeftMillis", minLeftMillis, 0, 60_000);
    }

    /**
     * Tells whether the request may run more than once.
     *
     * <p>A "no" in the route or in the header always wins: a caller may narrow what the operator
     * allows, and may widen it only where the operator left it to the method.
     */
    public static boolean isRepeatable(String method, Repeatability route, RepeatHeader header) {
        if (route == Repeatability.NEVER || header == RepeatHeader.NO) {
            return false;
        }
        return route == Repeatability.ALWAYS
                || header == RepeatHeader.YES
                || IDEMPOTENT_METHODS.contains(method);
    }

    /** Decides what follows an attempt of a request whose runs nothing else bounds. */
    public RetryDecision decide(Progress progress, long leftMillis, BooleanSupplier budget) {
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
            Progress progress, long leftMillis, int maxRuns, BooleanSupplier budget) {
        Checks.notNull("progress.last", progress.last());
        RetryDecision wish = wish(progress);
        if (wish instanceof RetryDecision.Finish) {
            return wish;
        }
        boolean mayGoOn =
                progress.attempts() < maxAttempts
                        && progress.runs() < maxRuns
                        && leftMillis >= minLeftMillis
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
    public HealthGate.Caution caution(Progress progress, int maxRuns) {
        if (progress.attempts() + 1 >= maxAttempts) {
            return HealthGate.Caution.NONE;
        }
        boolean mayFailOnce = progress.repeatable() && progress.runs() + 1 < maxRuns;
        return mayFailOnce ? HealthGate.Caution.MAY_TRY : HealthGate.Caution.STEADY;
    }

    private static RetryDecision wish(Progress progress) {
        Outcome last = progress.last();
        if (last instanceof Outcome.Answered answered) {
            boolean again = progress.repeatable() && RETRYABLE_STATUSES.contains(answered.status());
            return again ? new RetryDecision.SendAgain() : finish(progress);
        }
        if (isQuarantined(last)) {
            return finish(progress);
        }
        if (progress.repeatable()) {
            return new RetryDecision.SendAgain();
        }
        // A request that must not repeat goes out again only if no attempt so far can have run, or
        // if the guard that may have run it will recognise it by its key.
        if (!progress.mayHaveRun()) {
            return new RetryDecision.SendAgain();
        }
        return progress.hasKey() ? new RetryDecision.SendToSameGuard() : finish(progress);
    }

    private static boolean isQuarantined(Outcome outcome) {
        if (outcome instanceof Outcome.Unknown unknown) {
            return unknown.reason() == UnknownReason.QUARANTINED;
        }
        return outcome instanceof Outcome.NotRun notRun
                && notRun.reason() == NotRunReason.QUARANTINED;
    }

    private static RetryDecision finish(Progress progress) {
        // "Not run" of the last attempt says nothing of an earlier one: a repeatable request that
        // ran and got a 503 would be reported as not run once its retry is refused.
        if (progress.last() instanceof Outcome.NotRun && progress.mayHaveRun()) {
            return new RetryDecision.Finish(new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT));
        }
        return new RetryDecision.Finish(progress.last());
    }
}
