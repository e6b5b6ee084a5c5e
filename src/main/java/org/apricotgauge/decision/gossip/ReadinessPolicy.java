package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * Decides when a new node, which starts without state, is ready to serve callers.
 *
 * <p>A stale platform, or peers on the stale side of a partition, would provide an older version
 * than the one in force. The node therefore queries the platform and peers in several failure
 * domains, takes the highest position, and is ready only once it has folded the log up to it. If
 * some of them don't respond, it becomes ready after {@code timeoutMillis} on the state of the
 * others. Without any response it is never ready: it has no routes, and the callers' other nodes
 * serve.
 */
public final class ReadinessPolicy {
    private static final int REQUIRED_DOMAINS = 3;

    /**
     * What the node has observed so far.
     *
     * @param position the log position of the node
     * @param highestKnownPosition the highest position that the platform or a peer reported
     * @param platformAnswered whether the platform has returned its head
     * @param platformFailed whether a call to the platform failed
     * @param vmsListed whether a VM list has been received
     * @param respondingDomains number of failure domains from which a peer has responded
     * @param knownDomains number of failure domains with other known nodes
     * @param elapsedMillis time since startup, in milliseconds
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

    /** Whether the node is ready, or what it waits for. */
    public enum Decision {
        /** Ready to serve callers. */
        READY,
        /** The platform or a peer has a higher position, which is being fetched. */
        CATCHING_UP,
        /** Too few sources have responded so far. */
        WAIT_FOR_RESPONSES,
        /** No source has responded. */
        NO_RESPONSE
    }

    private final long mTimeoutMillis;

    /** Creates a policy with the timeout for sources that don't respond, in milliseconds. */
    public ReadinessPolicy(long timeoutMillis) {
        mTimeoutMillis = Checks.inRange("timeoutMillis", timeoutMillis, 0, Long.MAX_VALUE);
    }

    /** Returns the decision for an observation. */
    public Decision decide(Observation observation) {
        if (!observation.platformAnswered() && observation.respondingDomains() == 0) {
            return Decision.NO_RESPONSE;
        }
        if (observation.position() < observation.highestKnownPosition()) {
            return Decision.CATCHING_UP;
        }
        boolean hasPlatformResult = observation.platformAnswered() || observation.platformFailed();
        int requiredDomains = Math.min(REQUIRED_DOMAINS, observation.knownDomains());
        // Before the VM list is received no other node is known, and the condition that all known
        // domains have responded would hold at once, although the platform may be stale.
        boolean hasEnough =
                hasPlatformResult
                        && observation.vmsListed()
                        && observation.respondingDomains() >= requiredDomains;
        return hasEnough || observation.elapsedMillis() >= mTimeoutMillis
                ? Decision.READY
                : Decision.WAIT_FOR_RESPONSES;
    }
}
