package org.apricotgauge.directory;

import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Address;
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

    private record Revision(long revision) {}

    private record SilentWatch(long missedRevision) {}

    private record PlatformLost(String reason, long revision) {}

    private record LargePage(String source, long revision, long bytes, long viewAgeMillis) {}

    private record View(long revision, long ageMillis) {}

    private record Parent(String source, long revision) {}

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
                    new LargePage(source, page.revision(), bytes, viewAgeMillis));
        }
    }

    /**
     * Logs when the view becomes stale or fresh again.
     *
     * @param maxAgeMillis age beyond which it is stale
     */
    void logViewAge(long revision, long ageMillis, long maxAgeMillis) {
        boolean isStale = ageMillis > maxAgeMillis;
        if (isStale == mIsViewStale) {
            return;
        }
        mIsViewStale = isStale;
        if (isStale) {
            mLog.warn("view of the site is too old", new View(revision, ageMillis));
        } else {
            mLog.info("view of the site is young again", new View(revision, ageMillis));
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

    void logResumed(long revision) {
        mLog.warn("woke from a pause", new Revision(revision));
    }

    void logSilentWatch(long missedRevision) {
        mLog.warn("watch brought nothing", new SilentWatch(missedRevision));
    }

    void logPlatformLost(String reason, long revision) {
        mLog.warn("platform lost", new PlatformLost(reason, revision));
    }

    void logPlatformRegained(long revision) {
        mLog.info("platform regained", new Revision(revision));
    }

    void logPeerFailure(Address peer, String reason) {
        mLog.warn("peer does not tell what it knows", new PeerFailed(peer.toString(), reason));
    }

    /** Logs the node that the site is read from; null for the platform. */
    void logParent(Address parent, long revision) {
        String source = parent == null ? "platform" : parent.toString();
        mLog.info("site is read from", new Parent(source, revision));
    }
}
