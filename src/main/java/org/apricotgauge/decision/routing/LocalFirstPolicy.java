package org.apricotgauge.decision.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.apricotgauge.model.Checks;

/**
 * Decides whether a request stays at the target beside its entry.
 *
 * <pre>{@code
 * LocalFirstPolicy.Decision decision =
 *         LocalFirstPolicy.decide(table, slots, slowness, random, ticker.nanos());
 * if (decision.stays()) { … }
 * }</pre>
 *
 * <p>A request that stays costs no hop and no bytes between VMs, and the slots beside an entry are
 * the only ones that it knows without delay. The policy never lets a request wait: it stays in a
 * free slot, or {@link BalancingPolicy} chooses. It keeps no state.
 */
public final class LocalFirstPolicy {
    /**
     * Part of the requests that are balanced over all targets although they could stay. They keep
     * each target known to other entries, and tell an entry how fast the other targets are.
     */
    static final double SPREAD_SHARE = 0.125;

    /**
     * Run time, relative to that of other targets, beyond which a target counts as slow; run times
     * of sound targets differ by half.
     */
    static final double MAX_SLOWNESS = 1.5;

    /**
     * Tolerated rise of the probability that the target is degraded above its baseline, for the
     * rounding of reports. Without recent failures, the probability is at the baseline or below.
     */
    static final double DEGRADATION_TOLERANCE = 0.005;

    private LocalFirstPolicy() {}

    /** Why a request stays or is balanced over all targets. */
    public enum Reason {
        /** It stays: the target beside the entry has a free slot. */
        STAYED,
        /** No target of the service is beside the entry, or its guard accepts no requests. */
        NONE_BESIDE,
        /** All slots are in use, or the target's rate limit permits no start. */
        FULL,
        /** The target is leaving, ejected or probably degraded. */
        UNHEALTHY,
        /** The target gets only a part of its share: it is cold or was ejected lately. */
        REDUCED_WEIGHT,
        /** Other targets answer sooner. */
        SLOW,
        /** The request is one of those that are balanced over all targets. */
        SPREAD
    }

    /**
     * What was decided.
     *
     * @param reason why
     * @param beside the target beside the entry; empty if there is none
     */
    public record Decision(Reason reason, Optional<Candidate> beside) {
        public Decision {
            Checks.notNull("reason", reason);
            Checks.notNull("beside", beside);
        }

        /** Returns whether the request stays at the target beside the entry. */
        public boolean stays() {
            return reason == Reason.STAYED;
        }
    }

    /**
     * Decides on the first attempt of a request.
     *
     * @param table the service and its targets
     * @param slots slots of the targets beside the entry
     * @param slowness run time at a target beside the entry, relative to that of other targets
     * @param random source of random numbers
     * @param nowNanos current time, in nanoseconds
     */
    public static Decision decide(
            ServiceTable table,
            LocalSlots slots,
            ToDoubleFunction<Candidate> slowness,
            RandomGenerator random,
            long nowNanos) {
        Optional<Candidate> beside =
                table.beside().stream()
                        .filter(one -> slots.find(one.target().id()).isPresent())
                        .max(Comparator.comparingInt(one -> freeSlots(one, slots)));
        Reason reason =
                beside.map(
                                one ->
                                        reasonFor(
                                                one,
                                                freeSlots(one, slots),
                                                slowness.applyAsDouble(one),
                                                random,
                                                nowNanos))
                        .orElse(Reason.NONE_BESIDE);
        return new Decision(reason, beside);
    }

    private static int freeSlots(Candidate candidate, LocalSlots slots) {
        return slots.find(candidate.target().id()).map(LocalSlots.Use::free).orElse(0);
    }

    private static Reason reasonFor(
            Candidate candidate,
            int freeSlots,
            double slowness,
            RandomGenerator random,
            long nowNanos) {
        if (!candidate.isEligible()
                || candidate.load().degradationAboveBaseline(nowNanos) > DEGRADATION_TOLERANCE) {
            return Reason.UNHEALTHY;
        }
        if (freeSlots == 0) {
            return Reason.FULL;
        }
        if (random.nextDouble() >= BalancingPolicy.weightOf(candidate, nowNanos)) {
            return Reason.REDUCED_WEIGHT;
        }
        if (slowness > MAX_SLOWNESS) {
            // A few requests show whether the target is still slow.
            return random.nextDouble() < SPREAD_SHARE ? Reason.STAYED : Reason.SLOW;
        }
        return random.nextDouble() < SPREAD_SHARE ? Reason.SPREAD : Reason.STAYED;
    }
}
