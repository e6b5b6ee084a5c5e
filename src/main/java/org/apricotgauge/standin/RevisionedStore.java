package org.apricotgauge.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.model.Checks;

/**
 * The keys of a platform's store with one revision counter, which can be restored from a copy.
 *
 * <pre>{@code
 * RevisionedStore.Copy copy = store.copy();
 * store.put("config", value);
 * store.restore(copy);               // the write is lost, and its revision is given out again
 * }</pre>
 *
 * <p>Each restore begins a new era. Has neither clock nor sockets; not thread-safe.
 */
public final class RevisionedStore {
    private final Map<String, PublishedItem> mItems = new HashMap<>();
    private long mRevision;
    private long mHistoryStartRevision;
    private long mEra = 1;

    /** The state of a store at one time. */
    public static final class Copy {
        private final Map<String, PublishedItem> mItems;
        private final long mRevision;
        private final long mHistoryStartRevision;

        private Copy(RevisionedStore store) {
            mItems = Map.copyOf(store.mItems);
            mRevision = store.mRevision;
            mHistoryStartRevision = store.mHistoryStartRevision;
        }

        /** Returns the revision of the last change that the copy has. */
        public long revision() {
            return mRevision;
        }
    }

    /** Creates a store without items, whose counter starts at a revision. */
    public RevisionedStore(long revision) {
        mRevision = Checks.inRange("revision", revision, 0, Long.MAX_VALUE);
        mHistoryStartRevision = revision;
    }

    /** Writes an item. */
    public PublishedItem put(String key, byte[] value) {
        return write(new PublishedItem(key, value, mRevision + 1, false));
    }

    /** Removes an item. */
    public PublishedItem remove(String key) {
        return write(PublishedItem.removed(key, mRevision + 1));
    }

    private PublishedItem write(PublishedItem item) {
        mRevision = item.revision();
        mItems.put(item.key(), item);
        return item;
    }

    /** Returns the state as it is now. */
    public Copy copy() {
        return new Copy(this);
    }

    /** Goes back to a copy; all writes since are lost. */
    public void restore(Copy copy) {
        Checks.notNull("copy", copy);
        mItems.clear();
        mItems.putAll(copy.mItems);
        mRevision = copy.mRevision;
        mHistoryStartRevision = copy.mHistoryStartRevision;
        mEra++;
    }

    /** Forgets the history of all changes so far. */
    public void forgetHistory() {
        mHistoryStartRevision = mRevision;
        mItems.values().removeIf(PublishedItem::removed);
    }

    /** Returns the number of restores, plus one. */
    public long era() {
        return mEra;
    }

    /** Returns the revision of the last change; a restore takes it back. */
    public long revision() {
        return mRevision;
    }

    /** Returns all items, oldest change first. */
    public List<PublishedItem> items() {
        return sorted(item -> !item.removed());
    }

    /**
     * Returns the changes after a revision, oldest first; empty if the store does not have that
     * revision or has forgotten the changes since.
     */
    public Optional<List<PublishedItem>> changesAfter(long revision) {
        if (revision > mRevision || revision < mHistoryStartRevision) {
            return Optional.empty();
        }
        return Optional.of(sorted(item -> item.revision() > revision));
    }

    private List<PublishedItem> sorted(Predicate<PublishedItem> filter) {
        List<PublishedItem> items = new ArrayList<>(mItems.values());
        items.removeIf(filter.negate());
        items.sort(Comparator.comparingLong(PublishedItem::revision));
        return items;
    }
}
