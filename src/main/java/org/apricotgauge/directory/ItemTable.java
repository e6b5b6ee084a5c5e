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
    public static final ItemTable EMPTY = new ItemTable(0, HashTreePMap.empty());

    private final long mRevision;
    private final long mNewest;
    private final PMap<String, PublishedItem> mItems;

    private ItemTable(long revision, PMap<String, PublishedItem> items) {
        mRevision = revision;
        mItems = items;
        mNewest = items.values().stream().mapToLong(PublishedItem::revision).max().orElse(0);
    }

    /** Returns the revision up to which all changes are in the table. */
    public long revision() {
        return mRevision;
    }

    /** Returns the revision of the newest change; it tells two tables apart, whoever read later. */
    public long newest() {
        return mNewest;
    }

    /** Returns whether the table has ever taken a whole page. */
    public boolean isKnown() {
        return mRevision > 0;
    }

    /** Returns the item of a key, also a removed one; null if the key was never seen. */
    public PublishedItem item(String key) {
        return mItems.get(key);
    }

    /** Returns the table with a page taken in; this one if the page is not newer. */
    public ItemTable with(PublishedPage page) {
        if (page.revision() < mRevision || (!page.whole() && !isKnown())) {
            return this;
        }
        PMap<String, PublishedItem> items = mItems;
        for (PublishedItem item : page.items()) {
            PublishedItem known = items.get(item.key());
            if (known == null || item.revision() > known.revision()) {
                items = items.plus(item.key(), item);
            }
        }
        if (page.whole()) {
            items = withoutMissing(items, page);
        }
        return new ItemTable(page.revision(), items);
    }

    private static PMap<String, PublishedItem> withoutMissing(
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
                .filter(item -> isNews(item, earlier.item(item.key())))
                .sorted(Comparator.comparingLong(PublishedItem::revision))
                .toList();
    }

    private static boolean isNews(PublishedItem item, PublishedItem known) {
        return known == null ? !item.removed() : known.revision() != item.revision();
    }

    /** Returns the items that changed after a revision, oldest first; all for revision 0. */
    public PublishedPage changesAfter(long revision) {
        List<PublishedItem> changed =
                mItems.values().stream()
                        .filter(item -> item.revision() > revision)
                        .filter(item -> revision > 0 || !item.removed())
                        .sorted(Comparator.comparingLong(PublishedItem::revision))
                        .toList();
        return new PublishedPage(mRevision, revision == 0, changed);
    }
}
