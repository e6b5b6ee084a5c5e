package org.apricotgauge.directory;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;

/**
 * Folds published pages into the items and the site that a node knows, and logs each step.
 *
 * <p>The items may be read from any thread; all else happens on the worker.
 */
final class SiteFold {
    private final SiteDecoder mDecoder;
    private final DirectoryLog mLog;
    private final SiteDirectory mDirectory = new SiteDirectory(this::log);
    private final AtomicReference<ItemTable> mItems = new AtomicReference<>(ItemTable.EMPTY);
    private boolean mLogsNewTargets;

    /** A decoded item with its revision. */
    private record Change(SiteChange meaning, long revision) {}

    /**
     * Where a page comes from, and what is known of the time since the page before.
     *
     * @param source the platform, or the node that told it
     * @param viewAgeMillis time since the last confirmation before it
     * @param keepMillis how long a target keeps its place whose registration ends without a word
     */
    record Origin(String source, long viewAgeMillis, long keepMillis) {}

    SiteFold(SiteDecoder decoder, DirectoryLog log) {
        mDecoder = Checks.notNull("decoder", decoder);
        mLog = Checks.notNull("log", log);
    }

    /** Returns the items as known now. */
    ItemTable items() {
        return mItems.get();
    }

    /** Returns the site as the items make it. */
    SiteDirectory directory() {
        return mDirectory;
    }

    /** A start reads every target of the site as new; only after it are new ones logged. */
    void logNewTargets() {
        mLogsNewTargets = true;
    }

    /** Takes a page in; returns whether anything that requests depend on is different. */
    boolean take(PublishedPage page, Origin origin, long nowMillis) {
        ItemTable before = mItems.get();
        ItemTable after = before.with(page);
        if (after == before) {
            return false;
        }
        mItems.set(after);
        mLog.pageRead(origin.source(), page, origin.viewAgeMillis());
        List<Change> changes = after.changedSince(before).stream().map(this::decode).toList();
        boolean changed = false;
        for (Change change : changes) {
            mLog.reads(
                    new DirectoryLog.Reading(
                            change.revision(),
                            origin.source(),
                            origin.viewAgeMillis(),
                            Math.max(0, origin.keepMillis())));
            changed |=
                    mDirectory.take(change.meaning(), nowMillis, nowMillis + origin.keepMillis());
        }
        mLog.reads(DirectoryLog.Reading.TIME);
        return changed;
    }

    private Change decode(PublishedItem item) {
        SiteChange change = mDecoder.decode(item);
        mLog.decoded(change);
        return new Change(change, item.revision());
    }

    private void log(TargetChange change) {
        if (change.from() != TargetChange.Presence.ABSENT || mLogsNewTargets) {
            mLog.believes(change);
        }
    }
}
