package org.apricotgauge.directory;

import java.util.Collection;
import java.util.List;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * The answer of a source: all items, or those that changed after a position.
 *
 * @param position the reader's position once the page is applied
 * @param full whether it contains all items, so that a missing key was removed
 * @param items the items, oldest change first
 * @param lostWrites writes that the source knows and the restored platform lost, see {@link
 *     LostWrites}
 * @param ageMillis how long ago the platform was last known to hold nothing newer, in milliseconds;
 *     {@link #UNKNOWN_AGE} if the source does not know
 */
public record PublishedPage(
        StorePosition position,
        boolean full,
        List<PublishedItem> items,
        List<PublishedItem> lostWrites,
        long ageMillis) {
    /** The age of a page that confirms nothing. */
    public static final long UNKNOWN_AGE = -1;

    /** Validates the components and copies the list. */
    public PublishedPage {
        Checks.notNull("page.position", position);
        items = List.copyOf(Checks.notNull("page.items", items));
        lostWrites = List.copyOf(Checks.notNull("page.lostWrites", lostWrites));
        Checks.inRange("page.ageMillis", ageMillis, UNKNOWN_AGE, Long.MAX_VALUE);
    }

    /** Creates a page with the state of the platform at the time of the answer. */
    public PublishedPage(StorePosition position, boolean full, List<PublishedItem> items) {
        this(position, full, items, 0);
    }

    /** Creates a page without lost writes. */
    public PublishedPage(
            StorePosition position, boolean full, List<PublishedItem> items, long ageMillis) {
        this(position, full, items, List.of(), ageMillis);
    }

    /** Returns whether the source knows the age of the page. */
    public boolean isAgeKnown() {
        return ageMillis >= 0;
    }

    /** Returns the page with another age. */
    public PublishedPage withAgeMillis(long newAgeMillis) {
        return new PublishedPage(position, full, items, lostWrites, newAgeMillis);
    }

    /** Returns the page at the same revision of another era. */
    PublishedPage inEra(long era) {
        return new PublishedPage(position.inEra(era), full, items, lostWrites, ageMillis);
    }

    /** Returns the page with writes that the source knows and the platform lost. */
    PublishedPage withLostWrites(Collection<PublishedItem> writes) {
        return new PublishedPage(position, full, items, List.copyOf(writes), ageMillis);
    }
}
