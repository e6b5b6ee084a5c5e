package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * Bounds and times of the gossip.
 *
 * @param ownDomainLinks links dialled within the own failure domain
 * @param otherDomainLinks links dialled into other failure domains
 * @param maxInboundLinks most links accepted
 * @param heartbeatMillis time between two heartbeats of a link
 * @param linkTimeoutMillis a link without any frame for this long is closed and dialled anew
 * @param dialTimeoutMillis time in which a dialled peer must have welcomed us
 * @param rewireMillis mean time after which one dialled link is exchanged for another
 * @param suspicionTimeoutMillis a suspicion that stands this long counts as unreachable
 * @param pauseThresholdMillis a gap between two ticks that counts as a pause of the process
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
    /** What a node uses unless told otherwise. */
    public static final GossipSettings DEFAULT =
            new GossipSettings(2, 2, 16, 1_000, 3_500, 2_000, 30_000, 5_000, 2_000);

    private static final int MAX_LINKS = 1_000;
    private static final long MAX_MILLIS = 3_600_000;

    /** Checks the parts. */
    public GossipSettings {
        Checks.inRange("ownDomainLinks", ownDomainLinks, 0, MAX_LINKS);
        Checks.inRange("otherDomainLinks", otherDomainLinks, 0, MAX_LINKS);
        Checks.inRange("maxInboundLinks", maxInboundLinks, 1, MAX_LINKS);
        Checks.inRange("heartbeatMillis", heartbeatMillis, 1, MAX_MILLIS);
        Checks.inRange("silenceMillis", linkTimeoutMillis, heartbeatMillis + 1, MAX_MILLIS);
        Checks.inRange("dialTimeoutMillis", dialTimeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("rewireMillis", rewireMillis, 1, MAX_MILLIS);
        Checks.inRange("suspicionMillis", suspicionTimeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("pauseMillis", pauseThresholdMillis, 1, MAX_MILLIS);
    }
}
