package org.apricotgauge.directory;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;

/**
 * Folds published pages into the items and the site that a node knows, and logs each step.
 *
 * <p>The items may be read from any thread; all else happens on the worker.
 */
final class SiteState {
    private final SiteDecoder mDecoder;
    private final DirectoryLog mLog;
    private final SiteDirectory mDirectory = new SiteDirectory(this::logTargetChange);
    private final AtomicReference<ItemTable> mItems = new AtomicReference<>(ItemTable.EMPTY);
    private boolean mLogsNewTargets;

    /** A decoded item with its revision. */
    private record DecodedChange(SiteChange change, long revision) {}

    /**
     * Where a page comes from, and what is known of the time since the page before.
     *
     * @param source the platform, or the node that told it
     * @param viewAgeMillis time since the last confirmation before it
     * @param retentionMillis how long a target keeps its place whose registration ends without a
     *     word
     */
    record PageOrigin(String source, long viewAgeMillis, long retentionMillis) {}

    SiteState(SiteDecoder decoder, DirectoryLog log) {
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
    void enableNewTargetLogging() {
        mLogsNewTargets = true;
    }

    /** Takes a page in; returns whether anything that requests depend on is different. */
    boolean apply(PublishedPage page, PageOrigin origin, long nowMillis) {
        ItemTable before = mItems.get();
        ItemTable after = before.with(page);
        if (after == before) {
            return false;
        }
        mItems.set(after);
        mLog.logPageSize(origin.source(), page, origin.viewAgeMillis());
        List<DecodedChange> changes =
                after.changedSince(before).stream().map(this::decode).toList();
        boolean changed = false;
        for (DecodedChange change : changes) {
            mLog.setReading(
                    new DirectoryLog.Reading(
                            change.revision(),
                            origin.source(),
                            origin.viewAgeMillis(),
                            Math.max(0, origin.retentionMillis())));
            changed |=
                    mDirectory.apply(
                            change.change(), nowMillis, nowMillis + origin.retentionMillis());
        }
        mLog.setReading(DirectoryLog.Reading.EXPIRY);
        return changed;
    }

    private DecodedChange decode(PublishedItem item) {
        SiteChange change = mDecoder.decode(item);
        mLog.logDecoded(change);
        return new DecodedChange(change, item.revision());
    }

    private void logTargetChange(TargetChange change) {
        if (change.from() != TargetChange.Presence.ABSENT || mLogsNewTargets) {
            mLog.logTargetChange(change);
        }
    }
}
