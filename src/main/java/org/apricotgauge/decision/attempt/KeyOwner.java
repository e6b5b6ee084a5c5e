package org.apricotgauge.decision.attempt;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * Selects the target that owns an Idempotency-Key (rendezvous hashing).
 *
 * <pre>{@code
 * String targetId = KeyOwner.of(key, configuredTargetIds);
 * }</pre>
 *
 * <p>Callers pass all targets that the configuration lists for the service, including ejected and
 * unresponsive ones. If the choice depended on health, two entries with different views could send
 * the same key to two guards, and both would run the request. A key whose owner can't serve is
 * refused, not moved.
 */
public final class KeyOwner {
    private KeyOwner() {}

    /**
     * Returns the target identifier with the highest hash, independent of the order of the list.
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
