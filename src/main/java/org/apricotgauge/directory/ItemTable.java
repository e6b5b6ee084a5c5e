package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.StorePosition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An immutable table of all published items that a node has.
 *
 * <pre>{@code
 * ItemTable next = table.with(page);
 * PublishedPage forPeer = next.changesAfter(peerPosition);
 * }</pre>
 *
 * <p>A page that is older than the table is ignored, so that neither a stale answer of the platform
 * nor a lagging peer can restore an earlier state. All items are of one era of the platform's
 * store: a full page of a later era replaces the table. Tombstones of removed keys are kept, so
 * that a peer that requests changes receives them.
 */
public final class ItemTable {
    /** A table without items. */
    public static final ItemTable EMPTY =
            new ItemTable(
                    StorePosition.NONE, 0, new UnseenRevisions(0, 0, 0), HashTreePMap.empty());

    private final StorePosition mPosition;
    private final long mNewestRevision;
    private final UnseenRevisions mUnseenRevisions;
    private final PMap<String, PublishedItem> mItems;

    /**
     * Revisions after which this node has not seen every change: those before its first full read,
     * and those that a later full read skipped.
     *
     * @param first revision of the first full read
     * @param gapFrom last revision before the earliest later full read
     * @param gapTo revision of the latest full read
     */
    private record UnseenRevisions(long first, long gapFrom, long gapTo) {
        UnseenRevisions withFullRead(long before, long after) {
            if (before == 0) {
                return new UnseenRevisions(after, after, after);
            }
            return new UnseenRevisions(first, gapFrom == gapTo ? before : gapFrom, after);
        }

        boolean contains(long revision) {
            return revision < first || (revision > gapFrom && revision < gapTo);
        }
    }

    private ItemTable(
            StorePosition position,
            long newestRevision,
            UnseenRevisions unseen,
            PMap<String, PublishedItem> items) {
        mPosition = position;
        mNewestRevision = newestRevision;
        mUnseenRevisions = unseen;
        mItems = items;
    }

    private static long newestRevision(PMap<String, PublishedItem> items) {
        return items.values().stream().mapToLong(PublishedItem::revision).max().orElse(0);
    }

    /** Returns the position up to which all changes are in the table. */
    public StorePosition position() {
        return mPosition;
    }

    /** Returns the position of the newest change; reads without changes do not raise it. */
    public StorePosition newestPosition() {
        return mPosition.at(mNewestRevision);
    }

    /** Returns whether the table contains a full page. */
    public boolean isInitialized() {
        return mPosition.revision() > 0;
    }

    /** Returns the item of a key, also a removed one; null if the key was never seen. */
    public PublishedItem item(String key) {
        return mItems.get(key);
    }

    /** Returns the items that are not removed, in no order. */
    List<PublishedItem> liveItems() {
        return mItems.values().stream().filter(item -> !item.removed()).toList();
    }

    /** Returns the table with a page applied; this one if the page is older. */
    public ItemTable with(PublishedPage page) {
        if (page.position().isBefore(mPosition) || (!page.full() && !isInitialized())) {
            return this;
        }
        if (!page.position().isSameEra(mPosition)) {
            return page.full() ? replacedBy(page) : this;
        }
        PMap<String, PublishedItem> items = mItems;
        long newestRevision = mNewestRevision;
        for (PublishedItem item : page.items()) {
            PublishedItem known = items.get(item.key());
            if (known == null || item.revision() > known.revision()) {
                items = items.plus(item.key(), item);
                newestRevision = Math.max(newestRevision, item.revision());
            }
        }
        if (!page.full()) {
            return new ItemTable(page.position(), newestRevision, mUnseenRevisions, items);
        }
        items = withMissingRemoved(items, page);
        return new ItemTable(
                page.position(),
                newestRevision(items),
                mUnseenRevisions.withFullRead(mPosition.revision(), page.position().revision()),
                items);
    }

    private ItemTable replacedBy(PublishedPage page) {
        PMap<String, PublishedItem> items = HashTreePMap.empty();
        for (PublishedItem item : page.items()) {
            items = items.plus(item.key(), item);
        }
        long revision = page.position().revision();
        for (PublishedItem known : mItems.values()) {
            if (!known.removed() && !items.containsKey(known.key())) {
                items = items.plus(known.key(), PublishedItem.removed(known.key(), revision));
            }
        }
        return new ItemTable(
                page.position(),
                newestRevision(items),
                new UnseenRevisions(revision, revision, revision),
                items);
    }

    private static PMap<String, PublishedItem> withMissingRemoved(
            PMap<String, PublishedItem> items, PublishedPage page) {
        Set<String> present = new HashSet<>();
        page.items().forEach(item -> present.add(item.key()));
        for (PublishedItem known : new ArrayList<>(items.values())) {
            if (!known.removed() && !present.contains(known.key())) {
                items =
                        items.plus(
                                known.key(),
                                PublishedItem.removed(known.key(), page.position().revision()));
            }
        }
        return items;
    }

    /**
     * Returns the items that differ from an earlier table, oldest change first.
     *
     * <p>Comparing revisions with the earlier table's newest one is not enough: the pages of a full
     * read are no snapshot, and a later page may hold a newer change than one that a watch delivers
     * only afterwards.
     */
    public List<PublishedItem> changedSince(ItemTable earlier) {
        if (mItems == earlier.mItems && mPosition.isSameEra(earlier.mPosition)) {
            return List.of();
        }
        boolean isSameEra = mPosition.isSameEra(earlier.mPosition);
        return mItems.values().stream()
                .filter(item -> isChanged(item, earlier.item(item.key()), isSameEra))
                .sorted(Comparator.comparingLong(PublishedItem::revision))
                .toList();
    }

    private static boolean isChanged(PublishedItem item, PublishedItem known, boolean isSameEra) {
        if (known == null) {
            return !item.removed();
        }
        return known.revision() != item.revision()
                || known.removed() != item.removed()
                || (!isSameEra && !Arrays.equals(known.value(), item.value()));
    }

    /** Returns whether a reader that has all changes up to a position lacks any change. */
    boolean hasChangesFor(StorePosition reader) {
        if (!reader.isSameEra(mPosition)) {
            return reader.isBefore(mPosition);
        }
        return mNewestRevision > reader.revision() || mUnseenRevisions.contains(reader.revision());
    }

    /**
     * Returns the items that changed after a position, oldest first; all items if this node has not
     * seen all changes since.
     *
     * <p>A full read contains no tombstones of keys removed before it. A reader that has such a key
     * would never receive its removal with the changes alone, and would keep using a removed
     * target.
     */
    public PublishedPage changesAfter(StorePosition reader) {
        long revision = reader.revision();
        boolean isFull =
                revision == 0
                        || !reader.isSameEra(mPosition)
                        || mUnseenRevisions.contains(revision);
        List<PublishedItem> changed =
                mItems.values().stream()
                        .filter(item -> isFull ? !item.removed() : item.revision() > revision)
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mPosition, isFull, changed);
    }
}
