package org.apricotgauge.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apricotgauge.decision.health.HealthGate;

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
    static final double SICK_LOAD = 3;

    /**
     * The same for a request that must not repeat, whose loss is worth some thirty hops between
     * failure domains: a twentieth more of risk is worth half a round.
     */
    static final double STEADY_SICK_LOAD = 10;

    /** Load per slot up to which a target has room: what comes at the same time still fits. */
    private static final double ROOMY = 0.75;

    /**
     * What each load per slot beyond {@link #ROOMY} counts: a full target is left for a stale one.
     */
    private static final double CROWDED_FACTOR = 5;

    /** Keeps entries that know nothing yet from all taking the same target. */
    private static final double TIE_BREAK = 0.2;

    private static final int DRAWS = 8;

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
        Candidate local = best(table.local(), tried, random, nowNanos);
        Candidate remote = best(table.remote(), tried, random, nowNanos);
        if (local == null && remote == null) {
            return Optional.ofNullable(best(table.all(), tried, random, nowNanos));
        }
        if (local == null || remote == null) {
            return Optional.of(local == null ? remote : local);
        }
        double localLoad = loadOf(local, nowNanos);
        double remoteLoad = loadOf(remote, nowNanos);
        return Optional.of(localLoad <= remoteLoad + LOCAL_ADVANTAGE ? local : remote);
    }

    /**
     * Chooses the target of a request that must not repeat: the likeliest to be healthy among those
     * with room.
     *
     * <p>The load that it answers: targets that fall sick every few seconds and then fail most of
     * their requests. Whoever is first to meet a spell loses its request, so that what matters is
     * how old the last proof of health is. Spread evenly, each target is proven a few times a
     * second; packed on as few as have room, those are proven by every request that runs there. In
     * {@code SpellLoadTest}, 15 targets and 90 requests a second, 1.4 of 100 requests fail so, of
     * which 1.2 fail at healthy targets; with the better of three drawn at random it is 3.6.
     *
     * @return the choice, or nothing if all that is left is suspect
     */
    public static Optional<Candidate> chooseSteady(
            ServiceTable table, Set<String> tried, RandomGenerator random, long nowNanos) {
        Candidate local = steadiest(table.local(), tried, random, nowNanos);
        Candidate remote = steadiest(table.remote(), tried, random, nowNanos);
        if (local == null && remote == null) {
            return Optional.ofNullable(steadiest(table.all(), tried, random, nowNanos));
        }
        if (local == null || remote == null) {
            return Optional.of(local == null ? remote : local);
        }
        double localRisk = riskOf(local, nowNanos);
        double remoteRisk = riskOf(remote, nowNanos);
        return Optional.of(localRisk <= remoteRisk + LOCAL_ADVANTAGE ? local : remote);
    }

    private static Candidate steadiest(
            List<Candidate> from, Set<String> tried, RandomGenerator random, long nowNanos) {
        Candidate best = null;
        Candidate bestOfAll = null;
        double bestRisk = Double.MAX_VALUE;
        double leastRisk = Double.MAX_VALUE;
        for (Candidate candidate : from) {
            if (!isAllowed(candidate, tried, null)
                    || candidate.load().sick(nowNanos) >= HealthGate.UNSTEADY) {
                continue;
            }
            double risk = riskOf(candidate, nowNanos) + TIE_BREAK * random.nextDouble();
            if (risk < leastRisk) {
                bestOfAll = candidate;
                leastRisk = risk;
            }
            if (risk < bestRisk && random.nextDouble() < weightOf(candidate, nowNanos)) {
                best = candidate;
                bestRisk = risk;
            }
        }
        // Where all are cold, as after a loss of power, weights say nothing.
        return best == null ? bestOfAll : best;
    }

    /** Returns the load per slot that a target's sickness and crowding are worth together. */
    private static double riskOf(Candidate candidate, long nowNanos) {
        double load = candidate.load().perSlot(candidate.target().slots(), nowNanos);
        double crowding = CROWDED_FACTOR * Math.max(0, load - ROOMY);
        return STEADY_SICK_LOAD * candidate.load().sick(nowNanos) + crowding;
    }

    private static Candidate best(
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
        for (int i = 0; i < DRAWS; i++) {
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
        double load = candidate.load().perSlot(candidate.target().slots(), nowNanos);
        double sick = candidate.load().sickBeyondUsual(nowNanos);
        return load + SICK_LOAD * sick;
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
