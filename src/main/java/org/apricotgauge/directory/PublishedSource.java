package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;

/**
 * A source of the items that the platform publishes: the platform itself, or another node.
 *
 * <pre>{@code
 * source.read(items.revision(), 10_000).thenAccept(this::applyPage);
 * }</pre>
 */
@FunctionalInterface
public interface PublishedSource {

    /**
     * Reads the items that changed after a revision; all items for revision 0, or if the source no
     * longer has the changes since.
     *
     * @param afterRevision revision that the reader has; 0 for none
     * @param waitMillis maximum wait for a change, in milliseconds; 0 answers at once
     * @return the page; fails if the source is unreachable or refuses
     */
    CompletableFuture<PublishedPage> read(long afterRevision, long waitMillis);
}
