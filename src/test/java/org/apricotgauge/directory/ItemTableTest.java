package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Pages from the platform and from peers, in whatever order they arrive. */
class ItemTableTest {

    @Test
    void aStalePageChangesNothing() {
        ItemTable table = ItemTable.EMPTY.with(whole(10, item("a", 9)));

        assertThat(table.with(whole(8, item("a", 7)))).isSameAs(table);
        assertThat(table.with(changes(9, item("a", 8)))).isSameAs(table);
    }

    @Test
    void aKeyThatIsMissingFromAWholePageIsGone() {
        // The platform has forgotten its history, so that no event tells of the removal.
        ItemTable table = ItemTable.EMPTY.with(whole(10, item("a", 9), item("b", 10)));

        ItemTable later = table.with(whole(20, item("a", 9)));

        assertThat(later.item("b").removed()).isTrue();
        assertThat(later.changesAfter(10).items())
                .extracting(PublishedItem::key)
                .containsExactly("b");
    }

    @Test
    void changesAloneTellNothingToANodeThatKnowsNothing() {
        assertThat(ItemTable.EMPTY.with(changes(5, item("a", 5))).isKnown()).isFalse();
    }

    @Test
    void aPeerThatLagsCatchesUpByTheChanges() {
        ItemTable old = ItemTable.EMPTY.with(whole(10, item("a", 9), item("b", 10)));
        ItemTable ahead = old.with(changes(12, item("a", 11), PublishedItem.removed("b", 12)));

        ItemTable caughtUp = old.with(ahead.changesAfter(old.revision()));

        assertThat(caughtUp.newest()).isEqualTo(12);
        assertThat(caughtUp.item("a").revision()).isEqualTo(11);
        assertThat(caughtUp.item("b").removed()).isTrue();
    }

    private static PublishedItem item(String key, long revision) {
        return new PublishedItem(key, new byte[] {1}, revision, false);
    }

    private static PublishedPage whole(long revision, PublishedItem... items) {
        return new PublishedPage(revision, true, List.of(items));
    }

    private static PublishedPage changes(long revision, PublishedItem... items) {
        return new PublishedPage(revision, false, List.of(items));
    }
}
