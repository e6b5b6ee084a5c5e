package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * One key of the platform as it was last written, or the mark that it was removed.
 *
 * @param key name of the item
 * @param value its bytes; empty if it was removed
 * @param revision the platform's revision of this writing, rising over all keys
 * @param removed whether the key is gone
 */
public record PublishedItem(String key, byte[] value, long revision, boolean removed) {

    /** Checks the parts. */
    public PublishedItem {
        Checks.notBlank("item.key", key);
        Checks.notNull("item.value", value);
        Checks.inRange("item.revision", revision, 0, Long.MAX_VALUE);
    }

    /** Returns the mark that a key is gone. */
    public static PublishedItem removed(String key, long revision) {
        return new PublishedItem(key, new byte[0], revision, true);
    }
}
