package org.apricotgauge.decision.detection;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the one node that tries an ejected target.
 *
 * <p>The target's own guard tries it, as its evidence reaches everyone and holds no path. Without a
 * live guard the highest-ranked live entry does, by rendezvous hashing (Thaler and Ravishankar,
 * 1998), so that nodes with the same view choose the same one and a lost node moves only its own
 * targets. While views differ, as in a partition, there can be one prober for each view.
 */
public final class ProberChoice {
    private ProberChoice() {}

    /**
     * Returns the node that should try the target.
     *
     * @param targetId the target
     * @param guardNode the target's guard, or null while it has none alive
     * @param liveNodes the nodes that serve this service as entries
     */
    public static Optional<String> prober(
            String targetId, String guardNode, Collection<String> liveNodes) {
        if (guardNode != null) {
            return Optional.of(guardNode);
        }
        return liveNodes.stream()
                .max(
                        (a, b) -> {
                            int order = Long.compareUnsigned(rank(targetId, a), rank(targetId, b));
                            return order != 0 ? order : a.compareTo(b);
                        });
    }

    private static long rank(String targetId, String node) {
        return Hashing.komihash5_0().hashStream().putString(targetId).putString(node).getAsLong();
    }
}
