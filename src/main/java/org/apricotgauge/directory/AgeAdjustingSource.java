package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.Checks;
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

    /** Returns the parts of a feed with both kinds of sources decorated. */
    static DirectoryFeed.Parts wrap(DirectoryFeed.Parts parts, SuspendAwareClock clock) {
        return new DirectoryFeed.Parts(
                new AgeAdjustingSource(parts.platform(), clock),
                node -> new AgeAdjustingSource(parts.peers().apply(node), clock),
                parts.decoder(),
                parts.worker(),
                parts.ticker(),
                parts.wallMillis(),
                parts.random(),
                parts.times());
    }

    @Override
    public CompletableFuture<PublishedPage> read(long afterRevision, long waitMillis) {
        long requestedAtMillis = mClock.millis();
        return mSource.read(afterRevision, waitMillis)
                .thenApply(page -> withTransitTime(page, requestedAtMillis));
    }

    private PublishedPage withTransitTime(PublishedPage page, long requestedAtMillis) {
        return page.isAgeKnown()
                ? page.withAgeMillis(page.ageMillis() + mClock.millis() - requestedAtMillis)
                : page;
    }
}
