package org.apricotgauge.directory;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * What a source answers: all items, or those that changed after a revision.
 *
 * @param revision the revision that the page brings its reader to
 * @param whole whether it holds all items, so that a key that is missing is gone
 * @param items the items, oldest change first
 */
public record PublishedPage(long revision, boolean whole, List<PublishedItem> items) {

    /** Checks the parts and copies the list. */
    public PublishedPage {
        Checks.inRange("page.revision", revision, 0, Long.MAX_VALUE);
        items = List.copyOf(Checks.notNull("page.items", items));
    }
}
