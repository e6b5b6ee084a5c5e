package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.StorePosition;
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
        assertThat(later.changesAfter(new StorePosition(0, 10)).items())
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

        ItemTable caughtUp = lagging.with(ahead.changesAfter(lagging.position()));

        assertThat(caughtUp.newestPosition().revision()).isEqualTo(12);
        assertThat(caughtUp.item("a").revision()).isEqualTo(11);
        assertThat(caughtUp.item("b").removed()).isTrue();
    }

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, new byte[] {1}, revision, false);
    }

    /** Guards against a reader that gets changes twice, or never, after quiet confirmations. */
    @Test
    void changesPageThatConfirmsTableKeepsItsNewestRevision() {
        ItemTable table = ItemTable.EMPTY.with(fullPage(10, item("a", 9)));

        ItemTable confirmed = table.with(changes(12)).with(changes(14, item("a", 8)));

        assertThat(confirmed.newestPosition().revision()).isEqualTo(9);
        assertThat(confirmed.changedSince(table)).isEmpty();
        assertThat(confirmed.with(changes(15, item("b", 15))).changedSince(table))
                .extracting(PublishedItem::key)
                .containsExactly("b");
    }

    @Test
    void sendsFullPageIfRemovalBeforeFirstReadWasNotSeen() {
        // A node starts and reads the site after a target has left and its key was removed. A node
        // that still has the target requests the changes since; if it received only those, it would
        // send requests there forever.
        ItemTable table = ItemTable.EMPTY.with(fullPage(9, item("a", 3)));
        ItemTable reader = ItemTable.EMPTY.with(fullPage(5, item("a", 3), item("gone", 5)));

        ItemTable updated = reader.with(table.changesAfter(reader.position()));

        assertThat(updated.item("gone").removed()).isTrue();
    }

    @Test
    void sendsFullPageIfLaterFullReadSkippedReaderRevision() {
        // As above, but the node had read the site before; the platform dropped its history, in
        // which a target was added and removed.
        ItemTable table =
                ItemTable.EMPTY.with(fullPage(3, item("a", 3))).with(fullPage(9, item("a", 3)));
        ItemTable reader = ItemTable.EMPTY.with(fullPage(5, item("a", 3), item("gone", 5)));

        assertThat(table.changesAfter(new StorePosition(0, 3)).full()).isFalse();
        assertThat(table.hasChangesFor(new StorePosition(0, 5))).isTrue();
        assertThat(reader.with(table.changesAfter(new StorePosition(0, 5))).item("gone").removed())
                .isTrue();
    }

    /** Guards against writes that are taken for known ones since their revisions were given out. */
    @Test
    void fullPageOfLaterEraReplacesTable() {
        ItemTable table = ItemTable.EMPTY.with(inEra(1, fullPage(10, item("a", 9), item("b", 10))));

        ItemTable restored = table.with(inEra(2, fullPage(8, item("a", 8))));

        assertThat(restored.position()).isEqualTo(new StorePosition(2, 8));
        assertThat(restored.item("a").revision()).isEqualTo(8);
        assertThat(restored.item("b").removed()).isTrue();
        assertThat(restored.changedSince(table))
                .extracting(PublishedItem::key)
                .containsExactly("a", "b");
    }

    /** Guards against a value that differs at the same revision of two eras. */
    @Test
    void itemOfSameRevisionInLaterEraCountsAsChanged() {
        ItemTable table = ItemTable.EMPTY.with(inEra(1, fullPage(10, item("a", 9))));
        PublishedItem repeated = new PublishedItem("a", new byte[] {2}, 9, false);

        ItemTable restored = table.with(inEra(2, fullPage(10, repeated)));

        assertThat(restored.changedSince(table)).containsExactly(repeated);
    }

    @Test
    void pagesOfOtherErasThatCannotFollowAreIgnored() {
        ItemTable table = ItemTable.EMPTY.with(inEra(2, fullPage(8, item("a", 8))));

        assertThat(table.with(inEra(1, fullPage(10, item("a", 9))))).isSameAs(table);
        assertThat(table.with(inEra(3, changes(9, item("a", 9))))).isSameAs(table);
    }

    @Test
    void readerOfAnotherEraReceivesAllItems() {
        ItemTable table = ItemTable.EMPTY.with(inEra(2, fullPage(8, item("a", 8))));

        assertThat(table.hasChangesFor(new StorePosition(1, 10))).isTrue();
        assertThat(table.hasChangesFor(new StorePosition(3, 1))).isFalse();
        assertThat(table.changesAfter(new StorePosition(1, 10)).full()).isTrue();
    }

    private static PublishedPage inEra(long era, PublishedPage page) {
        return page.inEra(era);
    }

    private static PublishedPage fullPage(long revision, PublishedItem... items) {
        return new PublishedPage(new StorePosition(0, revision), true, List.of(items));
    }

    private static PublishedPage changes(long revision, PublishedItem... items) {
        return new PublishedPage(new StorePosition(0, revision), false, List.of(items));
    }
}
