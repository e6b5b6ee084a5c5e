package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * Decides when a fresh node, which knows nothing, may open to callers.
 *
 * <p>A stale platform, or peers on the stale side of a partition, would hand it an older version
 * than the one in force. So it asks the platform and peers in several failure domains, takes the
 * highest, and opens only once it has folded that. If part of them stay silent it opens after
 * {@code patienceMillis} on what the others said. If nobody answers it stays closed: it cannot know
 * any route, and the callers' other nodes serve.
 */
public final class ReadinessPolicy {
    private static final int REQUIRED_DOMAINS = 3;

    /**
     * What the node has learned so far.
     *
     * @param position its log position
     * @param highestKnownPosition the highest position that the platform or a peer showed
     * @param platformAnswered whether the platform told its head
     * @param platformFailed whether a call to the platform failed
     * @param vmsListed whether anybody has told which VMs there are
     * @param respondingDomains from how many failure domains a peer has answered
     * @param knownDomains in how many failure domains other nodes are known
     * @param elapsedMillis time since the start
     */
    public record Observation(
            long position,
            long highestKnownPosition,
            boolean platformAnswered,
            boolean platformFailed,
            boolean vmsListed,
            int respondingDomains,
            int knownDomains,
            long elapsedMillis) {}

    /** Whether to open, or what it waits for. */
    public enum Decision {
        /** Open to callers. */
        READY,
        /** Somebody holds a later version; it is on its way. */
        CATCHING_UP,
        /** Too few have answered so far. */
        WAIT_FOR_RESPONSES,
        /** Nobody has answered at all. */
        NO_RESPONSE
    }

    private final long mTimeoutMillis;

    /** Creates a policy that waits so long for those who stay silent. */
    public ReadinessPolicy(long patienceMillis) {
        mTimeoutMillis = Checks.inRange("patienceMillis", patienceMillis, 0, Long.MAX_VALUE);
    }

    /** Decides on what is known now. */
    public Decision decide(Observation seen) {
        if (!seen.platformAnswered() && seen.respondingDomains() == 0) {
            return Decision.NO_RESPONSE;
        }
        if (seen.position() < seen.highestKnownPosition()) {
            return Decision.CATCHING_UP;
        }
        boolean platformSettled = seen.platformAnswered() || seen.platformFailed();
        int wanted = Math.min(REQUIRED_DOMAINS, seen.knownDomains());
        // Before the list of VMs is here no other node is known, and "all known ones answered"
        // would hold at once, on the word of a platform that may be stale.
        boolean enough = platformSettled && seen.vmsListed() && seen.respondingDomains() >= wanted;
        return enough || seen.elapsedMillis() >= mTimeoutMillis
                ? Decision.READY
                : Decision.WAIT_FOR_RESPONSES;
    }
}
