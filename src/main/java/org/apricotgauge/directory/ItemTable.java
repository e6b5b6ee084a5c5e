package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * An immutable table of all published items that a node has.
 *
 * <pre>{@code
 * ItemTable next = table.with(page);
 * PublishedPage forPeer = next.changesAfter(peerRevision);
 * }</pre>
 *
 * <p>A page that is older than the table is ignored, so that neither a stale answer of the platform
 * nor a lagging peer can restore an earlier state. Tombstones of removed keys are kept, so that a
 * peer that requests changes receives them.
 */
public final class ItemTable {
    /** A table without items. */
    public static final ItemTable EMPTY =
            new ItemTable(0, new UnseenRevisions(0, 0, 0), HashTreePMap.empty());

    private final long mRevision;
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

    private ItemTable(long revision, UnseenRevisions unseen, PMap<String, PublishedItem> items) {
        mRevision = revision;
        mUnseenRevisions = unseen;
        mItems = items;
        mNewestRevision =
                items.values().stream().mapToLong(PublishedItem::revision).max().orElse(0);
    }

    /** Returns the revision up to which all changes are in the table. */
    public long revision() {
        return mRevision;
    }

    /** Returns the revision of the newest change; reads without changes do not raise it. */
    public long newestRevision() {
        return mNewestRevision;
    }

    /** Returns whether the table contains a full page. */
    public boolean isInitialized() {
        return mRevision > 0;
    }

    /** Returns the item of a key, also a removed one; null if the key was never seen. */
    public PublishedItem item(String key) {
        return mItems.get(key);
    }

    /** Returns the table with a page applied; this one if the page is older. */
    public ItemTable with(PublishedPage page) {
        if (page.revision() < mRevision || (!page.full() && !isInitialized())) {
            return this;
        }
        PMap<String, PublishedItem> items = mItems;
        for (PublishedItem item : page.items()) {
            PublishedItem known = items.get(item.key());
            if (known == null || item.revision() > known.revision()) {
                items = items.plus(item.key(), item);
            }
        }
        if (page.full()) {
            items = withMissingRemoved(items, page);
        }
        return new ItemTable(
                page.revision(),
                page.full()
                        ? mUnseenRevisions.withFullRead(mRevision, page.revision())
                        : mUnseenRevisions,
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
                                known.key(), PublishedItem.removed(known.key(), page.revision()));
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
        return mItems.values().stream()
                .filter(item -> isChanged(item, earlier.item(item.key())))
                .sorted(Comparator.comparingLong(PublishedItem::revision))
                .toList();
    }

    private static boolean isChanged(PublishedItem item, PublishedItem known) {
        return known == null ? !item.removed() : known.revision() != item.revision();
    }

    /** Returns whether a reader that has all changes up to a revision lacks any change. */
    boolean hasChangesFor(long revision) {
        return mNewestRevision > revision || mUnseenRevisions.contains(revision);
    }

    /**
     * Returns the items that changed after a revision, oldest first; all items if this node has not
     * seen all changes since.
     *
     * <p>A full read contains no tombstones of keys removed before it. A reader that has such a key
     * would never receive its removal with the changes alone, and would keep using a removed
     * target.
     */
    public PublishedPage changesAfter(long revision) {
        boolean isFull = revision == 0 || mUnseenRevisions.contains(revision);
        List<PublishedItem> changed =
                mItems.values().stream()
                        .filter(item -> isFull ? !item.removed() : item.revision() > revision)
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mRevision, isFull, changed);
    }
}
