package org.apricotgauge.directory;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * What a source answers: all items, or those that changed after a revision.
 *
 * @param revision the revision that the page brings its reader to
 * @param full whether it holds all items, so that a key that is missing is gone
 * @param items the items, oldest change first
 * @param ageMillis how long ago the platform was known to hold nothing newer, in milliseconds;
 *     {@link #UNKNOWN_AGE} if the source cannot say
 */
public record PublishedPage(
        long revision, boolean full, List<PublishedItem> items, long ageMillis) {
    /** The age of a page that confirms nothing. */
    public static final long UNKNOWN_AGE = -1;

    /** Checks the parts and copies the list. */
    public PublishedPage {
        Checks.inRange("page.revision", revision, 0, Long.MAX_VALUE);
        items = List.copyOf(Checks.notNull("page.items", items));
        Checks.inRange("page.ageMillis", ageMillis, UNKNOWN_AGE, Long.MAX_VALUE);
    }

    /** Creates a page that tells how the platform is at the moment of its answer. */
    public PublishedPage(long revision, boolean whole, List<PublishedItem> items) {
        this(revision, whole, items, 0);
    }

    /** Returns whether the source knows since when the page may be out of date. */
    public boolean isAgeKnown() {
        return ageMillis >= 0;
    }

    /** Returns the page with the age at which its teller knows it. */
    public PublishedPage withAgeMillis(long knownAgeMillis) {
        return new PublishedPage(revision, full, items, knownAgeMillis);
    }
}
