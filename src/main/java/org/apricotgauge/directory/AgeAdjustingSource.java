package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.SuspendAwareClock;

/**
 * A source whose answers are as old as their questions at least.
 *
 * <p>Nobody knows how long an answer was on its way; since its question was asked is the most. So a
 * watch that waited for a change brings the change, and confirms nothing younger than itself.
 */
final class AgeAdjustingSource implements PublishedSource {
    private final PublishedSource mSource;
    private final SuspendAwareClock mClock;

    AgeAdjustingSource(PublishedSource source, SuspendAwareClock clock) {
        mSource = Checks.notNull("source", source);
        mClock = Checks.notNull("clock", clock);
    }

    /** Returns the parts of a feed with sources of this kind. */
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
        long askedMillis = mClock.millis();
        return mSource.read(afterRevision, waitMillis)
                .thenApply(page -> withTransitTime(page, askedMillis));
    }

    private PublishedPage withTransitTime(PublishedPage page, long askedMillis) {
        return page.isAgeKnown()
                ? page.withAgeMillis(page.ageMillis() + mClock.millis() - askedMillis)
                : page;
    }
}
