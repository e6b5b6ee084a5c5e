package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.StorePosition;

/**
 * A source of the items that the platform publishes: the platform itself, or another node.
 *
 * <pre>{@code
 * source.read(items.position(), 10_000).thenAccept(this::applyPage);
 * }</pre>
 */
@FunctionalInterface
public interface PublishedSource {

    /**
     * Reads the items that changed after a position; all items if the reader has none, or if the
     * source does not have the changes since.
     *
     * @param after position that the reader has
     * @param waitMillis maximum wait for a change, in milliseconds; 0 answers at once
     * @return the page; fails if the source is unreachable or refuses
     */
    CompletableFuture<PublishedPage> read(StorePosition after, long waitMillis);
}
