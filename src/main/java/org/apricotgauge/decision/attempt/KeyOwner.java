package org.apricotgauge.decision.attempt;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * Chooses the one target whose guard holds an Idempotency-Key (rendezvous hashing).
 *
 * <pre>{@code
 * String targetId = KeyHome.of(key, configuredTargetIds);
 * }</pre>
 *
 * <p>Pass all targets that the configuration lists for the service, the ejected and silent ones
 * too. Were the choice to follow health, two entries with different views would send the same key
 * to two guards, and both would run it. A key whose home can't serve is refused, not moved.
 */
public final class KeyOwner {
    private KeyOwner() {}

    /**
     * Returns the identifier with the highest hash; the order of the list does not matter.
     *
     * @throws IllegalArgumentException if the list is empty
     */
    public static String of(IdempotencyKey key, List<String> targetIds) {
        Checks.inRange("targetIds.size", targetIds.size(), 1, Integer.MAX_VALUE);
        String best = null;
        long bestWeight = 0;
        for (String targetId : targetIds) {
            long weight = weight(key, targetId);
            if (best == null || isBetter(weight, targetId, bestWeight, best)) {
                best = targetId;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static boolean isBetter(long weight, String id, long bestWeight, String bestId) {
        int order = Long.compareUnsigned(weight, bestWeight);
        return order > 0 || (order == 0 && id.compareTo(bestId) < 0);
    }

    private static long weight(IdempotencyKey key, String targetId) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(targetId)
                .putString(key.service())
                .putString(key.member())
                .putString(key.value())
                .getAsLong();
    }
}
