package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * A small piece of state that one node publishes to the fleet; of the items with the same kind,
 * node and key, the one with the highest sequence wins.
 *
 * @param kind the kind of item
 * @param node the VM the item is about, which is also its publisher unless it is a suspicion
 * @param key distinguishes several items of one kind and node; may be empty
 * @param sequence increases with each newer item of the same kind, node and key
 * @param lifetimeMillis remaining lifetime in milliseconds; decreases from hop to hop
 * @param payload the content, at most {@link #MAX_PAYLOAD_BYTES} bytes
 */
public record GossipItem(
        Kind kind, String node, String key, long sequence, long lifetimeMillis, byte[] payload) {
    /** Maximum payload size, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 512;

    /** Maximum sequence. */
    public static final long MAX_SEQUENCE = Long.MAX_VALUE / 2;

    /** Maximum lifetime, in milliseconds. */
    public static final long MAX_LIFETIME_MILLIS = 600_000;

    private static final int MAX_KEY_CHARS = 128;

    /** The kind of an item. */
    public enum Kind {
        /** A node is alive (even sequence) or suspected (odd sequence). */
        LIVENESS,
        /** A VM or one of its targets is leaving, as announced by its own node. */
        LEAVING,
        /** A watcher lost its connection to the platform, or restored it. */
        WATCH,
        /** Evidence for outlier detection, opaque to this package. */
        EVIDENCE
    }

    /** Validates the components. */
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
