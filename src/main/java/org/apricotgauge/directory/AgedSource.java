package org.apricotgauge.directory;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.ElapsedClock;

/**
 * A source whose answers to questions are as old as the questions at least.
 *
 * <p>Nobody knows how long an answer was on its way; since its question was asked is the most. A
 * watch that waits for a change tells its age at its end, and only its last way is not counted.
 */
final class AgedSource implements PublishedSource {
    private final PublishedSource mSource;
    private final ElapsedClock mClock;

    AgedSource(PublishedSource source, ElapsedClock clock) {
        mSource = Checks.notNull("source", source);
        mClock = Checks.notNull("clock", clock);
    }

    /** Returns the parts of a feed with sources of this kind. */
    static DirectoryFeed.Parts in(DirectoryFeed.Parts parts, ElapsedClock clock) {
        return new DirectoryFeed.Parts(
                new AgedSource(parts.platform(), clock),
                node -> new AgedSource(parts.peers().apply(node), clock),
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
        CompletableFuture<PublishedPage> answer = mSource.read(afterRevision, waitMillis);
        return waitMillis > 0 ? answer : answer.thenApply(page -> aged(page, askedMillis));
    }

    private PublishedPage aged(PublishedPage page, long askedMillis) {
        return page.tellsAge()
                ? page.agedMillis(page.ageMillis() + mClock.millis() - askedMillis)
                : page;
    }
}
