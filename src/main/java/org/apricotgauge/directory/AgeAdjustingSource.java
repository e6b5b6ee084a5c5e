package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.time.SuspendAwareClock;

/**
 * Decorates a source so that the age of each page includes the time since the request was sent.
 *
 * <p>The transit time of an answer is unknown, but cannot exceed the time since its request. A
 * watch that waited for a change therefore delivers the change, and confirms nothing more recent
 * than its own start.
 */
final class AgeAdjustingSource implements PublishedSource {
    private final PublishedSource mSource;
    private final SuspendAwareClock mClock;

    AgeAdjustingSource(PublishedSource source, SuspendAwareClock clock) {
        mSource = Checks.notNull("source", source);
        mClock = Checks.notNull("clock", clock);
    }

    /**
     * Returns the parts of a feed with both kinds of sources decorated.
     *
     * @param resolver finds the era of the pages of other nodes
     */
    static FeedParts wrap(
            FeedParts parts, SuspendAwareClock clock, UnaryOperator<PublishedPage> resolver) {
        return new FeedParts(
                new AgeAdjustingSource(parts.platform(), clock),
                node -> {
                    PublishedSource adjusted =
                            new AgeAdjustingSource(parts.peers().apply(node), clock);
                    return (after, waitMillis) ->
                            adjusted.read(after, waitMillis).thenApply(resolver);
                },
                parts.decoder(),
                parts.worker(),
                parts.ticker(),
                parts.wallMillis(),
                parts.random(),
                parts.times());
    }

    @Override
    public CompletableFuture<PublishedPage> read(StorePosition after, long waitMillis) {
        long requestedAtMillis = mClock.millis();
        return mSource.read(after, waitMillis)
                .thenApply(page -> withTransitTime(page, requestedAtMillis));
    }

    private PublishedPage withTransitTime(PublishedPage page, long requestedAtMillis) {
        return page.isAgeKnown()
                ? page.withAgeMillis(page.ageMillis() + mClock.millis() - requestedAtMillis)
                : page;
    }
}
