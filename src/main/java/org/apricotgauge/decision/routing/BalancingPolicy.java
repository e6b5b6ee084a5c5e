package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request: power of two choices on load per slot, own failure domain first.
 *
 * <pre>{@code
 * Optional<Candidate> choice = BalancingPolicy.choose(table, tried, random, ticker.nanos());
 * }</pre>
 *
 * <p>Two targets are drawn in proportion to their weights and the less loaded one is taken
 * (Mitzenmacher 2001). The own failure domain wins until it is clearly the busier. A cold target's
 * weight grows over {@link #RAMP_NANOS}. Pure but for the random numbers and loads it is given.
 */
public final class BalancingPolicy {
    /** How long a cold target takes to get its whole share. */
    public static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Share of its work that a cold target gets at once. */
    static final double RAMP_START = 0.1;

    /**
     * How much busier per slot the own failure domain may be before others are taken: two requests
     * more at a target of three slots. Bytes between failure domains are the dearest thing that the
     * users pay for; a slot that is still free costs a caller nothing.
     */
    static final double LOCAL_ADVANTAGE = 0.7;

    /**
     * Load per slot that a certainly sick target is charged: with it a target that is known to be
     * sick is taken only before one with three full rounds of work waiting.
     */
    static final double DEGRADED_LOAD = 3;

    private static final int MAX_DRAWS = 8;

    private BalancingPolicy() {}

    /**
     * Chooses a target.
     *
     * @param table the service
     * @param tried targets that this request must not be sent to again
     * @param random source of random numbers
     * @param nowNanos present time
     * @return the choice, or nothing if no eligible target is left
     */
    public static Optional<Candidate> choose(
            ServiceTable table, Set<String> tried, RandomGenerator random, long nowNanos) {
        Candidate local = chooseBest(table.local(), tried, random, nowNanos);
        Candidate remote = chooseBest(table.remote(), tried, random, nowNanos);
        if (local == null && remote == null) {
            return Optional.ofNullable(chooseBest(table.all(), tried, random, nowNanos));
        }
        if (local == null || remote == null) {
            return Optional.of(local == null ? remote : local);
        }
        double localLoad = loadOf(local, nowNanos);
        double remoteLoad = loadOf(remote, nowNanos);
        return Optional.of(localLoad <= remoteLoad + LOCAL_ADVANTAGE ? local : remote);
    }

    private static Candidate chooseBest(
            List<Candidate> from, Set<String> tried, RandomGenerator random, long nowNanos) {
        Candidate one = draw(from, tried, null, random, nowNanos);
        if (one == null) {
            return null;
        }
        Candidate other = draw(from, tried, one, random, nowNanos);
        if (other == null) {
            return one;
        }
        return loadOf(other, nowNanos) < loadOf(one, nowNanos) ? other : one;
    }

    /** Draws in proportion to weight by rejection; falls back to a walk when unlucky. */
    private static Candidate draw(
            List<Candidate> from,
            Set<String> tried,
            Candidate except,
            RandomGenerator random,
            long nowNanos) {
        if (from.isEmpty()) {
            return null;
        }
        for (int i = 0; i < MAX_DRAWS; i++) {
            Candidate candidate = from.get(random.nextInt(from.size()));
            boolean allowed = isAllowed(candidate, tried, except);
            if (allowed && random.nextDouble() < weightOf(candidate, nowNanos)) {
                return candidate;
            }
        }
        return heaviestFrom(from, tried, except, random.nextInt(from.size()), nowNanos);
    }

    private static Candidate heaviestFrom(
            List<Candidate> from, Set<String> tried, Candidate except, int start, long nowNanos) {
        Candidate heaviest = null;
        for (int i = 0; i < from.size(); i++) {
            Candidate candidate = from.get((start + i) % from.size());
            if (!isAllowed(candidate, tried, except)) {
                continue;
            }
            if (heaviest == null || weightOf(candidate, nowNanos) > weightOf(heaviest, nowNanos)) {
                heaviest = candidate;
            }
        }
        return heaviest;
    }

    private static boolean isAllowed(Candidate candidate, Set<String> tried, Candidate except) {
        return candidate != except
                && candidate.isEligible()
                && !tried.contains(candidate.target().id());
    }

    private static double loadOf(Candidate candidate, long nowNanos) {
        double load = candidate.load().loadPerSlot(candidate.target().slots(), nowNanos);
        double sick = candidate.load().degradationAboveBaseline(nowNanos);
        return load + DEGRADED_LOAD * sick;
    }

    static double weightOf(Candidate candidate, long nowNanos) {
        if (candidate.rampStartNanos() == Candidate.NO_RAMP) {
            return candidate.weight();
        }
        double passed = (double) (nowNanos - candidate.rampStartNanos()) / RAMP_NANOS;
        double ramp = Math.min(1.0, Math.max(RAMP_START, passed));
        return candidate.weight() * ramp;
    }
}
