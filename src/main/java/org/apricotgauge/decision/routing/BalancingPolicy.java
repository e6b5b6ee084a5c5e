package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by power of two choices on load per slot, with a preference for
 * the own failure domain.
 *
 * <pre>{@code
 * Optional<Candidate> choice = BalancingPolicy.choose(table, tried, random, ticker.nanos());
 * }</pre>
 *
 * <p>Two targets are drawn in proportion to their weights, and the less loaded one is chosen
 * (Mitzenmacher 2001). The own failure domain is preferred until it is clearly busier. The weight
 * of a cold target grows over {@link #RAMP_NANOS}. The policy keeps no state: a choice depends only
 * on the arguments, with the loads in them.
 */
public final class BalancingPolicy {
    /** Time in which a cold target ramps up to its full share. */
    public static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Part of its share that a cold target gets at the start of the ramp. */
    static final double RAMP_START = 0.1;

    /**
     * How much higher the load per slot of the own failure domain may be before another one is
     * chosen: two more requests at a target of three slots. Traffic between failure domains is the
     * highest cost that the users pay for, while a slot that is still free costs a caller nothing.
     */
    static final double LOCAL_ADVANTAGE = 0.7;

    /**
     * Load per slot that is added to a target that is certainly degraded: it is chosen only over a
     * target with three full rounds of its slots queued.
     */
    static final double DEGRADED_LOAD = 3;

    private static final int MAX_DRAWS = 8;

    private BalancingPolicy() {}

    /**
     * Chooses a target.
     *
     * @param table the service and its targets
     * @param tried ids of targets that this request must not be sent to again
     * @param random source of random numbers
     * @param nowNanos current time, in nanoseconds
     * @return the chosen target, or empty if no eligible target is left
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
            List<Candidate> candidates, Set<String> tried, RandomGenerator random, long nowNanos) {
        Candidate first = draw(candidates, tried, null, random, nowNanos);
        if (first == null) {
            return null;
        }
        Candidate second = draw(candidates, tried, first, random, nowNanos);
        if (second == null) {
            return first;
        }
        return loadOf(second, nowNanos) < loadOf(first, nowNanos) ? second : first;
    }

    /** Draws by rejection sampling in proportion to weight; scans the list if no draw succeeds. */
    private static Candidate draw(
            List<Candidate> candidates,
            Set<String> tried,
            Candidate excluded,
            RandomGenerator random,
            long nowNanos) {
        if (candidates.isEmpty()) {
            return null;
        }
        for (int i = 0; i < MAX_DRAWS; i++) {
            Candidate candidate = candidates.get(random.nextInt(candidates.size()));
            boolean allowed = isAllowed(candidate, tried, excluded);
            if (allowed && random.nextDouble() < weightOf(candidate, nowNanos)) {
                return candidate;
            }
        }
        return heaviestFrom(
                candidates, tried, excluded, random.nextInt(candidates.size()), nowNanos);
    }

    private static Candidate heaviestFrom(
            List<Candidate> candidates,
            Set<String> tried,
            Candidate excluded,
            int start,
            long nowNanos) {
        Candidate heaviest = null;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get((start + i) % candidates.size());
            if (!isAllowed(candidate, tried, excluded)) {
                continue;
            }
            if (heaviest == null || weightOf(candidate, nowNanos) > weightOf(heaviest, nowNanos)) {
                heaviest = candidate;
            }
        }
        return heaviest;
    }

    private static boolean isAllowed(Candidate candidate, Set<String> tried, Candidate excluded) {
        return candidate != excluded
                && candidate.isEligible()
                && !tried.contains(candidate.target().id());
    }

    private static double loadOf(Candidate candidate, long nowNanos) {
        double load = candidate.load().loadPerSlot(candidate.target().slots(), nowNanos);
        double degradation = candidate.load().degradationAboveBaseline(nowNanos);
        return load + DEGRADED_LOAD * degradation;
    }

    static double weightOf(Candidate candidate, long nowNanos) {
        if (candidate.rampStartNanos() == Candidate.NO_RAMP) {
            return candidate.weight();
        }
        double elapsed = (double) (nowNanos - candidate.rampStartNanos()) / RAMP_NANOS;
        double ramp = Math.min(1.0, Math.max(RAMP_START, elapsed));
        return candidate.weight() * ramp;
    }
}
