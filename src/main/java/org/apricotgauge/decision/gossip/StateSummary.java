package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * A summary of a node's state. It is part of every heartbeat, so that anti-entropy needs no
 * separate messages.
 *
 * @param position log position of the node's history
 * @param digest digest of the node's history
 * @param vmRevision revision of the node's VM list
 * @param itemsHash hash over the node's liveness, leaving and watch items, independent of their
 *     order
 */
public record StateSummary(long position, String digest, long vmRevision, long itemsHash) {

    /** Validates the components. */
    public StateSummary {
        Checks.inRange("position", position, 0, Long.MAX_VALUE);
        Checks.notNull("digest", digest);
        Checks.inRange("vmRevision", vmRevision, 0, Long.MAX_VALUE);
    }
}
