package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * The last written value of a key of the platform, or the tombstone of a removed key.
 *
 * @param key name of the item
 * @param value value of the item; of a removed one the last value if it is known, or empty
 * @param revision the platform's revision of this write, increasing across all keys of one era
 * @param removed whether the key was removed
 */
public record PublishedItem(String key, byte[] value, long revision, boolean removed) {

    /** Validates the components. */
    public PublishedItem {
        Checks.notBlank("item.key", key);
        Checks.notNull("item.value", value);
        Checks.inRange("item.revision", revision, 0, Long.MAX_VALUE);
    }

    /** Returns the tombstone of a removed key. */
    public static PublishedItem removed(String key, long revision) {
        return new PublishedItem(key, new byte[0], revision, true);
    }
}
