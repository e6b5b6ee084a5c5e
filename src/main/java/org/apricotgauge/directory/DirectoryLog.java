package org.apricotgauge.directory;

import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Address;
import org.jboss.logging.Logger;

/** The lines that tell what a node believes of its site, and what each belief rests on. */
final class DirectoryLog {
    /** A page of at least this many bytes takes a narrow link a tenth of a second. */
    private static final long LARGE_PAGE_BYTES = 100_000;

    private final StateLog mLog = new StateLog(Logger.getLogger(DirectoryFeed.class));
    private Reading mReading = Reading.EXPIRY;
    private boolean mIsViewStale;

    /**
     * What a step in the belief of a target rests on.
     *
     * @param revision revision of the change; 0 for time that has run out
     * @param source the platform, or the address of the peer that told it; empty for time
     * @param viewAgeMillis time since the last confirmation before it
     * @param keepMillis how long a registration that ends without a word is kept for
     */
    record Reading(long revision, String source, long viewAgeMillis, long keepMillis) {
        /** Nothing was read; time has run out. */
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

    /** Notes what the following steps in beliefs rest on. */
    void setReading(Reading reading) {
        mReading = reading;
    }

    /**
     * Notes how large a page is.
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
     * Notes how old the view is.
     *
     * @param boundMillis age from which on it is older than it should be
     */
    void logViewAge(long revision, long ageMillis, long boundMillis) {
        boolean isOld = ageMillis > boundMillis;
        if (isOld == mIsViewStale) {
            return;
        }
        mIsViewStale = isOld;
        if (isOld) {
            mLog.warn("view of the site is too old", new View(revision, ageMillis));
        } else {
            mLog.info("view of the site is young again", new View(revision, ageMillis));
        }
    }

    void logTargetChange(TargetChange change) {
        mLog.info("target changed", new TargetChangeLine(change, mReading));
    }

    void logDecoded(SiteChange change) {
        if (change instanceof SiteChange.Unreadable unreadable) {
            mLog.warn("published item is unreadable", unreadable);
        }
        if (change instanceof SiteChange.InvalidRegistration unusable) {
            mLog.warn("registration names no target", unusable);
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

    /** Tells whom the site is read from; null for the platform. */
    void logParent(Address parent, long revision) {
        String source = parent == null ? "platform" : parent.toString();
        mLog.info("site is read from", new Parent(source, revision));
    }
}
