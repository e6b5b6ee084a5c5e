package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests pages from the platform and from peers in any order of arrival. */
class ItemTableTest {

    @Test
    void ignoresStalePage() {
        ItemTable table = ItemTable.EMPTY.with(fullPage(10, item("a", 9)));

        assertThat(table.with(fullPage(8, item("a", 7)))).isSameAs(table);
        assertThat(table.with(changes(9, item("a", 8)))).isSameAs(table);
    }

    @Test
    void fullPageRemovesMissingKeys() {
        // The platform dropped its history, so that no event reports the removal.
        ItemTable table = ItemTable.EMPTY.with(fullPage(10, item("a", 9), item("b", 10)));

        ItemTable later = table.with(fullPage(20, item("a", 9)));

        assertThat(later.item("b").removed()).isTrue();
        assertThat(later.changesAfter(10).items())
                .extracting(PublishedItem::key)
                .containsExactly("b");
    }

    @Test
    void ignoresChangesBeforeFirstFullPage() {
        assertThat(ItemTable.EMPTY.with(changes(5, item("a", 5))).isInitialized()).isFalse();
    }

    @Test
    void laggingPeerCatchesUpFromChanges() {
        ItemTable lagging = ItemTable.EMPTY.with(fullPage(10, item("a", 9), item("b", 10)));
        ItemTable ahead = lagging.with(changes(12, item("a", 11), PublishedItem.removed("b", 12)));

        ItemTable caughtUp = lagging.with(ahead.changesAfter(lagging.revision()));

        assertThat(caughtUp.newestRevision()).isEqualTo(12);
        assertThat(caughtUp.item("a").revision()).isEqualTo(11);
        assertThat(caughtUp.item("b").removed()).isTrue();
    }

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, new byte[] {1}, revision, false);
    }

    @Test
    void sendsFullPageIfRemovalBeforeFirstReadWasNotSeen() {
        // A node starts and reads the site after a target has left and its key was removed. A node
        // that still has the target requests the changes since; if it received only those, it would
        // send requests there forever.
        ItemTable table = ItemTable.EMPTY.with(fullPage(9, item("a", 3)));
        ItemTable reader = ItemTable.EMPTY.with(fullPage(5, item("a", 3), item("gone", 5)));

        ItemTable updated = reader.with(table.changesAfter(reader.revision()));

        assertThat(updated.item("gone").removed()).isTrue();
    }

    @Test
    void sendsFullPageIfLaterFullReadSkippedReaderRevision() {
        // As above, but the node had read the site before; the platform dropped its history, in
        // which a target was added and removed.
        ItemTable table =
                ItemTable.EMPTY.with(fullPage(3, item("a", 3))).with(fullPage(9, item("a", 3)));
        ItemTable reader = ItemTable.EMPTY.with(fullPage(5, item("a", 3), item("gone", 5)));

        assertThat(table.changesAfter(3).full()).isFalse();
        assertThat(table.hasChangesFor(5)).isTrue();
        assertThat(reader.with(table.changesAfter(5)).item("gone").removed()).isTrue();
    }

    private static PublishedPage fullPage(long revision, PublishedItem... items) {
        return new PublishedPage(revision, true, List.of(items));
    }

    private static PublishedPage changes(long revision, PublishedItem... items) {
        return new PublishedPage(revision, false, List.of(items));
    }
}
