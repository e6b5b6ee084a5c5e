package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * A small fact that one node tells the fleet; the latest sequence of a (kind, node, key) wins.
 *
 * @param kind what the fact is about
 * @param node the VM it is about, and, but for an accusation, from
 * @param key tells several facts of one node apart; may be empty
 * @param sequence rises with each newer fact of the same kind, node and key
 * @param lifetimeMillis how long the fact still holds, from now; falls from hop to hop
 * @param payload its content, at most {@link #MAX_PAYLOAD_BYTES}
 */
public record GossipItem(
        Kind kind, String node, String key, long sequence, long lifetimeMillis, byte[] payload) {
    /** Largest content, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 512;

    /** Highest sequence. */
    public static final long MAX_SEQUENCE = Long.MAX_VALUE / 2;

    /** Longest lifetime, in milliseconds. */
    public static final long MAX_LIFETIME_MILLIS = 600_000;

    private static final int MAX_KEY_CHARS = 128;

    /** What a fact is about. */
    public enum Kind {
        /** A node lives (even sequence) or is suspected (odd sequence). */
        LIVENESS,
        /** A VM or one of its targets is leaving, told by its own node. */
        LEAVING,
        /** A watcher of the platform lost it, or has it again. */
        WATCH,
        /** Opaque evidence of detection. */
        EVIDENCE
    }

    /** Checks the parts. */
    public GossipItem {
        Checks.notNull("kind", kind);
        Checks.id("node", node);
        Checks.notNull("key", key);
        Checks.inRange("key length", key.length(), 0, MAX_KEY_CHARS);
        Checks.inRange("sequence", sequence, 0, MAX_SEQUENCE);
        Checks.inRange("lifetimeMillis", lifetimeMillis, 0, MAX_LIFETIME_MILLIS);
        Checks.notNull("payload", payload);
        Checks.inRange("payload length", payload.length, 0, MAX_PAYLOAD_BYTES);
    }

    GossipItem withLifetimeMillis(long millis) {
        return new GossipItem(kind, node, key, sequence, millis, payload);
    }
}
