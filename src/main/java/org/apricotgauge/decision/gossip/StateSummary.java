package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * What a node holds, in one line; rides on every heartbeat, so that anti-entropy costs no message
 * of its own.
 *
 * @param position log position of its history
 * @param digest digest of its history
 * @param vmRevision revision of its list of VMs
 * @param itemsHash hash over its liveness, leaving and watch items, independent of their order
 */
public record StateSummary(long position, String digest, long vmRevision, long itemsHash) {

    /** Checks the parts. */
    public StateSummary {
        Checks.inRange("position", position, 0, Long.MAX_VALUE);
        Checks.notNull("digest", digest);
        Checks.inRange("vmRevision", vmRevision, 0, Long.MAX_VALUE);
    }
}
