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
public final class OpeningPolicy {
    private static final int WANTED_DOMAINS = 3;

    /**
     * What the node has learned so far.
     *
     * @param position its log position
     * @param highestHeard the highest position that the platform or a peer showed
     * @param platformAnswered whether the platform told its head
     * @param platformFailed whether a call to the platform failed
     * @param vmsListed whether anybody has told which VMs there are
     * @param domainsHeard from how many failure domains a peer has answered
     * @param domainsKnown in how many failure domains other nodes are known
     * @param waitedMillis time since the start
     */
    public record Observation(
            long position,
            long highestHeard,
            boolean platformAnswered,
            boolean platformFailed,
            boolean vmsListed,
            int domainsHeard,
            int domainsKnown,
            long waitedMillis) {}

    /** Whether to open, or what it waits for. */
    public enum Decision {
        /** Open to callers. */
        OPEN,
        /** Somebody holds a later version; it is on its way. */
        WAIT_FOR_RECORDS,
        /** Too few have answered so far. */
        WAIT_FOR_ANSWERS,
        /** Nobody has answered at all. */
        WAIT_ALONE
    }

    private final long mPatienceMillis;

    /** Creates a policy that waits so long for those who stay silent. */
    public OpeningPolicy(long patienceMillis) {
        mPatienceMillis = Checks.inRange("patienceMillis", patienceMillis, 0, Long.MAX_VALUE);
    }

    /** Decides on what is known now. */
    public Decision decide(Observation seen) {
        if (!seen.platformAnswered() && seen.domainsHeard() == 0) {
            return Decision.WAIT_ALONE;
        }
        if (seen.position() < seen.highestHeard()) {
            return Decision.WAIT_FOR_RECORDS;
        }
        boolean platformSettled = seen.platformAnswered() || seen.platformFailed();
        int wanted = Math.min(WANTED_DOMAINS, seen.domainsKnown());
        // Before the list of VMs is here no other node is known, and "all known ones answered"
        // would hold at once, on the word of a platform that may be stale.
        boolean enough = platformSettled && seen.vmsListed() && seen.domainsHeard() >= wanted;
        return enough || seen.waitedMillis() >= mPatienceMillis
                ? Decision.OPEN
                : Decision.WAIT_FOR_ANSWERS;
    }
}
