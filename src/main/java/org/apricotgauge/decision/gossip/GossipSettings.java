package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * Limits and timeouts of the gossip protocol.
 *
 * @param ownDomainLinks number of links dialled within the local failure domain
 * @param otherDomainLinks number of links dialled into other failure domains
 * @param maxInboundLinks maximum number of accepted links
 * @param heartbeatMillis interval between two heartbeats on a link
 * @param linkTimeoutMillis time without any frame after which a link is closed and dialled again
 * @param dialTimeoutMillis time within which a dialled peer must complete the handshake
 * @param rewireMillis mean interval after which one dialled link is replaced by another
 * @param suspicionTimeoutMillis time after which an unrefuted suspicion marks a peer as unreachable
 * @param pauseThresholdMillis gap between two ticks above which the process is considered paused
 */
public record GossipSettings(
        int ownDomainLinks,
        int otherDomainLinks,
        int maxInboundLinks,
        long heartbeatMillis,
        long linkTimeoutMillis,
        long dialTimeoutMillis,
        long rewireMillis,
        long suspicionTimeoutMillis,
        long pauseThresholdMillis) {
    /** The default settings. */
    public static final GossipSettings DEFAULT =
            new GossipSettings(2, 2, 16, 1_000, 3_500, 2_000, 30_000, 5_000, 2_000);

    private static final int MAX_LINKS = 1_000;
    private static final long MAX_MILLIS = 3_600_000;

    /** Validates the components. */
    public GossipSettings {
        Checks.inRange("ownDomainLinks", ownDomainLinks, 0, MAX_LINKS);
        Checks.inRange("otherDomainLinks", otherDomainLinks, 0, MAX_LINKS);
        Checks.inRange("maxInboundLinks", maxInboundLinks, 1, MAX_LINKS);
        Checks.inRange("heartbeatMillis", heartbeatMillis, 1, MAX_MILLIS);
        Checks.inRange("linkTimeoutMillis", linkTimeoutMillis, heartbeatMillis + 1, MAX_MILLIS);
        Checks.inRange("dialTimeoutMillis", dialTimeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("rewireMillis", rewireMillis, 1, MAX_MILLIS);
        Checks.inRange("suspicionTimeoutMillis", suspicionTimeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("pauseThresholdMillis", pauseThresholdMillis, 1, MAX_MILLIS);
    }
}
