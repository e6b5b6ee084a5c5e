package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;

/**
 * Somebody who can tell what the platform published: the platform itself, or another node.
 *
 * <pre>{@code
 * source.read(items.revision(), 10_000).thenAccept(feed::take);
 * }</pre>
 */
@FunctionalInterface
public interface PublishedSource {

    /**
     * Reads what changed after a revision; everything for revision 0, or if the changes since are
     * no longer known to the source.
     *
     * @param afterRevision revision that the reader has; 0 for none
     * @param waitMillis answer at the first change, or after this time; 0 answers at once
     * @return the page; fails if the source is not reached or refuses
     */
    CompletableFuture<PublishedPage> read(long afterRevision, long waitMillis);
}
