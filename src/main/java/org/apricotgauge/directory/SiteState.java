package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Applies published pages to a node's items and site, and logs each change.
 *
 * <p>The items may be read from any thread; everything else runs on the worker.
 */
final class SiteState {
    private final SiteDecoder mDecoder;
    private final DirectoryLog mLog;
    private final SiteDirectory mDirectory;
    private final AtomicReference<ItemTable> mItems = new AtomicReference<>(ItemTable.EMPTY);
    private final LostWrites mLostWrites;
    private final Set<String> mMissingNames = new HashSet<>();
    private boolean mLogsNewTargets;
    private volatile long mRestoreCount;

    /** A decoded item with its revision. */
    private record DecodedChange(SiteChange change, long revision) {}

    /**
     * The source of a page, and the age of the view before it.
     *
     * @param source the platform, or the node that sent it
     * @param viewAgeMillis time since the last confirmation before it
     * @param retentionMillis how long to retain a target whose registration ends without a leaving
     *     notice
     */
    record PageOrigin(String source, long viewAgeMillis, long retentionMillis) {}

    SiteState(SiteDecoder decoder, DirectoryLog log, PlatformTimes times) {
        mDecoder = Checks.notNull("decoder", decoder);
        mLog = Checks.notNull("log", log);
        mDirectory = new SiteDirectory(times, this::logTargetChange);
        mLostWrites = new LostWrites(new WriteOrder(decoder), times.maxEndedRegistrationMillis());
    }

    /** Returns the current items. */
    ItemTable items() {
        return mItems.get();
    }

    /** Returns the writes that this node knows and the platform lost. */
    LostWrites lostWrites() {
        return mLostWrites;
    }

    /** Returns the site as given by the items. */
    SiteDirectory directory() {
        return mDirectory;
    }

    /** Returns whether this node has read a store that was restored from a copy. */
    boolean wasRestored() {
        return mRestoreCount > 0;
    }

    /** Returns how many restores this node has read. */
    long restoreCount() {
        return mRestoreCount;
    }

    /** Enables logging of new targets, which is off at startup, when every target is new. */
    void enableNewTargetLogging() {
        mLogsNewTargets = true;
    }

    /** Returns whether a page tells the era to a node that did not know it. */
    boolean isEraFirstToldBy(PublishedPage page) {
        StorePosition known = mItems.get().position();
        return page.full()
                && page.position().hasEra()
                && !known.hasEra()
                && mItems.get().isInitialized();
    }

    /** Returns whether a page is the first that this node reads of a restored store. */
    boolean isRestoredBy(PublishedPage page) {
        StorePosition known = mItems.get().position();
        return page.full()
                && known.hasEra()
                && !known.isSameEra(page.position())
                && known.isBefore(page.position());
    }

    /** Applies a page; returns whether anything that requests depend on changed. */
    boolean apply(PublishedPage page, PageOrigin origin, long nowMillis) {
        ItemTable before = mItems.get();
        ItemTable after = before.with(page);
        boolean changed = after != before && replaceItems(after, page, origin, nowMillis);
        return learnLostWrites(page, origin, nowMillis) || changed;
    }

    private boolean replaceItems(
            ItemTable after, PublishedPage page, PageOrigin origin, long nowMillis) {
        ItemTable before = mItems.get();
        boolean isRestored = isRestoredBy(page);
        mItems.set(after);
        mLog.logPageSize(origin.source(), page, origin.viewAgeMillis());
        if (isRestored) {
            mRestoreCount++;
            mLostWrites.beginEra(before, after, nowMillis);
            mLog.logRestored(
                    before.position(), after.position(), mLostWrites.count(), origin.source());
        } else if (!before.isInitialized()) {
            mLostWrites.begin(nowMillis);
        }
        boolean changed = false;
        for (PublishedItem item : after.changedSince(before)) {
            if (mLostWrites.isOutdated(item)) {
                continue;
            }
            DecodedChange change = decode(item);
            PublishedItem known = before.item(item.key());
            if (mDirectory.isSuperseded(change.change()) && mLostWrites.retain(known, item)) {
                continue;
            }
            if (isRestored) {
                recordMissing(change.change());
            } else {
                mLostWrites.recordChange(known, item, nowMillis);
            }
            changed |= applyChange(change, origin, nowMillis, nowMillis + origin.retentionMillis());
        }
        return changed;
    }

    // A registration that the copy lacks has not ended: any write of it may be repeated later.
    private void recordMissing(SiteChange change) {
        if (change instanceof SiteChange.Unregistered missing
                && !mDirectory.isLeaving(missing.name())) {
            mMissingNames.add(missing.name());
        }
    }

    private boolean applyChange(
            DecodedChange change, PageOrigin origin, long nowMillis, long retainUntilMillis) {
        mLog.setChangeOrigin(
                new DirectoryLog.Reading(
                        change.revision(),
                        origin.source(),
                        origin.viewAgeMillis(),
                        Math.max(0, retainUntilMillis - nowMillis)));
        boolean changed = mDirectory.apply(change.change(), nowMillis, retainUntilMillis);
        mLog.setChangeOrigin(DirectoryLog.Reading.EXPIRY);
        return changed;
    }

    private boolean learnLostWrites(PublishedPage page, PageOrigin origin, long nowMillis) {
        ItemTable table = mItems.get();
        boolean isOfEarlierEra =
                page.position().isBefore(table.position())
                        && !page.position().isSameEra(table.position());
        List<PublishedItem> told = new ArrayList<>(page.lostWrites());
        if (isOfEarlierEra) {
            told.addAll(page.items());
        }
        told.removeIf(item -> item.removed() && !isRegistered(item));
        boolean changed = false;
        for (PublishedItem lost : mLostWrites.merge(told, table, nowMillis)) {
            mLog.logLostWrite(lost, origin.source());
            // An end counts at once, as the node that tells it has retained the target already.
            PublishedItem write =
                    lost.removed() ? PublishedItem.removed(lost.key(), lost.revision()) : lost;
            changed |= applyChange(decode(write), origin, nowMillis, nowMillis);
        }
        return changed;
    }

    private boolean isRegistered(PublishedItem ended) {
        SiteChange change = mDecoder.decode(PublishedItem.removed(ended.key(), ended.revision()));
        return change instanceof SiteChange.Unregistered unregistered
                && mDirectory.isRegistered(unregistered.name());
    }

    /** Removes what is retained for too long; returns whether there was anything. */
    boolean expire(long nowMillis) {
        boolean changed = mDirectory.expire(nowMillis);
        if (!mMissingNames.isEmpty()) {
            expireMissing();
        }
        for (String key : mLostWrites.expire(mItems.get(), nowMillis)) {
            changed |= readmit(mItems.get().item(key), nowMillis);
        }
        return changed;
    }

    private void expireMissing() {
        mMissingNames.removeIf(
                name -> {
                    if (mDirectory.isRetained(name)) {
                        return false;
                    }
                    mDirectory.forgetEnd(name);
                    return true;
                });
    }

    private boolean readmit(PublishedItem stored, long nowMillis) {
        SiteChange change = mDecoder.decode(stored);
        if (change instanceof SiteChange.Registered registered) {
            mDirectory.forgetEnd(registered.registration().name());
        }
        return mDirectory.apply(change, nowMillis, nowMillis);
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
