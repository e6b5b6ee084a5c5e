package org.apricotgauge.directory;

import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.StorePosition;
import org.jboss.logging.Logger;

/** Logs the changes of a node's view of its site, with the source of each. */
final class DirectoryLog {
    /** A page of at least this many bytes occupies a narrow link for a tenth of a second. */
    private static final long LARGE_PAGE_BYTES = 100_000;

    private final StateLog mLog = new StateLog(Logger.getLogger(DirectoryFeed.class));
    private Reading mChangeOrigin = Reading.EXPIRY;
    private boolean mIsViewStale;

    /**
     * The origin of a change of a target's state.
     *
     * @param revision revision of the change; 0 for an expiry
     * @param source the platform, or the address of the peer that sent it; empty for an expiry
     * @param viewAgeMillis time since the last confirmation before it
     * @param keepMillis how long a registration that ends without a leaving notice is retained
     */
    record Reading(long revision, String source, long viewAgeMillis, long keepMillis) {
        /** Nothing was read; the retention of a registration expired. */
        static final Reading EXPIRY = new Reading(0, "", 0, 0);
    }

    private record TargetChangeLine(TargetChange target, Reading reading) {}

    private record Revision(long revision, long era) {
        static Revision of(StorePosition position) {
            return new Revision(position.revision(), position.era());
        }
    }

    private record Restored(
            String source,
            long revisionBefore,
            long eraBefore,
            long revision,
            long era,
            int lostWrites) {}

    private record LostWrite(String key, boolean ended, String source) {}

    private record SilentWatch(long missedRevision) {}

    private record PlatformLost(String reason, long revision, long era) {}

    private record LargePage(String source, long revision, long bytes, long viewAgeMillis) {}

    private record View(long revision, long ageMillis) {}

    private record Parent(String source, long revision, long era) {}

    private record PeerFailed(String peer, String reason) {}

    /** Sets the origin of the target changes that follow. */
    void setChangeOrigin(Reading reading) {
        mChangeOrigin = reading;
    }

    /**
     * Logs a page that is large.
     *
     * @param viewAgeMillis time since the last confirmation before it
     */
    void logPageSize(String source, PublishedPage page, long viewAgeMillis) {
        long bytes = page.items().stream().mapToLong(item -> item.value().length).sum();
        if (bytes >= LARGE_PAGE_BYTES) {
            mLog.info(
                    "large page read",
                    new LargePage(source, page.position().revision(), bytes, viewAgeMillis));
        }
    }

    /**
     * Logs when the view becomes stale or fresh again.
     *
     * @param maxAgeMillis age beyond which it is stale
     */
    void logViewAge(StorePosition newest, long ageMillis, long maxAgeMillis) {
        boolean isStale = ageMillis > maxAgeMillis;
        if (isStale == mIsViewStale) {
            return;
        }
        mIsViewStale = isStale;
        if (isStale) {
            mLog.warn("view of the site is too old", new View(newest.revision(), ageMillis));
        } else {
            mLog.info("view of the site is young again", new View(newest.revision(), ageMillis));
        }
    }

    void logTargetChange(TargetChange change) {
        mLog.info("target changed", new TargetChangeLine(change, mChangeOrigin));
    }

    void logDecoded(SiteChange change) {
        if (change instanceof SiteChange.Unreadable unreadable) {
            mLog.warn("published item is unreadable", unreadable);
        }
        if (change instanceof SiteChange.InvalidRegistration invalid) {
            mLog.warn("registration names no target", invalid);
        }
    }

    void logResumed(StorePosition position) {
        mLog.warn("woke from a pause", Revision.of(position));
    }

    /**
     * Logs that the platform's store was restored from a copy.
     *
     * @param lostWrites number of writes that this node knows and the store lost
     * @param source the platform, or the node that the first page of the new era came from
     */
    void logRestored(StorePosition before, StorePosition after, int lostWrites, String source) {
        mLog.warn(
                "store was restored",
                new Restored(
                        source,
                        before.revision(),
                        before.era(),
                        after.revision(),
                        after.era(),
                        lostWrites));
    }

    /** Logs a write that the restored store lost and that another node told. */
    void logLostWrite(PublishedItem write, String source) {
        mLog.info("lost write learned", new LostWrite(write.key(), write.removed(), source));
    }

    void logSilentWatch(StorePosition missed) {
        mLog.warn("watch brought nothing", new SilentWatch(missed.revision()));
    }

    void logPlatformLost(String reason, StorePosition position) {
        mLog.warn("platform lost", new PlatformLost(reason, position.revision(), position.era()));
    }

    void logPlatformRegained(StorePosition position) {
        mLog.info("platform regained", Revision.of(position));
    }

    void logPeerFailure(Address peer, String reason) {
        mLog.warn("peer does not tell what it knows", new PeerFailed(peer.toString(), reason));
    }

    /** Logs the node that the site is read from; null for the platform. */
    void logParent(Address parent, StorePosition position) {
        String source = parent == null ? "platform" : parent.toString();
        mLog.info("site is read from", new Parent(source, position.revision(), position.era()));
    }
}
