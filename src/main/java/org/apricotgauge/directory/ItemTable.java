package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All published items as one node knows them; immutable.
 *
 * <pre>{@code
 * ItemTable next = table.with(page);
 * PublishedPage forPeer = next.changesAfter(peerRevision);
 * }</pre>
 *
 * <p>A page that is older than the table changes nothing, so that neither a stale answer of the
 * platform nor a peer that lags can bring back an earlier state. Marks of removed keys are kept, so
 * that a peer that asks for changes hears of them.
 */
public final class ItemTable {
    /** Knows nothing. */
    public static final ItemTable EMPTY =
            new ItemTable(0, new UnseenRevisions(0, 0, 0), HashTreePMap.empty());

    private final long mRevision;
    private final long mNewestRevision;
    private final UnseenRevisions mUnseenRevisions;
    private final PMap<String, PublishedItem> mItems;

    /**
     * Revisions from which on this node has not seen every change: those before its first whole
     * read, and those over which a later one passed.
     *
     * @param first revision of the first whole read
     * @param gapFrom last revision before the earliest later one
     * @param gapTo revision of the latest one
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

    /** Returns the revision of the newest change; it tells two tables apart, whoever read later. */
    public long newestRevision() {
        return mNewestRevision;
    }

    /** Returns whether the table has ever taken a whole page. */
    public boolean isInitialized() {
        return mRevision > 0;
    }

    /** Returns the item of a key, also a removed one; null if the key was never seen. */
    public PublishedItem item(String key) {
        return mItems.get(key);
    }

    /** Returns the table with a page taken in; this one if the page is not newer. */
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
     * Returns the items that an earlier table does not have so, oldest change first.
     *
     * <p>They can't be told by their revisions alone: pages of a whole read are no snapshot, and a
     * later one may hold a newer change than one that a watch brings only afterwards.
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

    /** Returns whether a reader that has everything up to a revision lacks something. */
    boolean hasChangesFor(long revision) {
        return mNewestRevision > revision || mUnseenRevisions.contains(revision);
    }

    /**
     * Returns the items that changed after a revision, oldest first; all of them if this node did
     * not see all changes since.
     *
     * <p>A whole read brings no marks of keys removed before it. A reader that knew such a key
     * would never hear of its end from the changes alone, and would use a target that is long gone.
     */
    public PublishedPage changesAfter(long revision) {
        boolean whole = revision == 0 || mUnseenRevisions.contains(revision);
        List<PublishedItem> changed =
                mItems.values().stream()
                        .filter(item -> whole ? !item.removed() : item.revision() > revision)
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mRevision, whole, changed);
    }
}
