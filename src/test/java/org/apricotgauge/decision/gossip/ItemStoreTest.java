package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ItemStoreTest {

    @Provide
    Arbitrary<List<GossipItem>> items() {
        Arbitrary<GossipItem.Kind> kinds = Arbitraries.of(GossipItem.Kind.class);
        Arbitrary<String> nodes = Arbitraries.of("a", "b", "c");
        Arbitrary<Long> numbers = Arbitraries.longs().between(0, 9);
        return Combinators.combine(kinds, nodes, numbers)
                .as((kind, node, sequence) -> item(kind, node, "k", sequence))
                .list()
                .ofMaxSize(30);
    }

    private static GossipItem item(GossipItem.Kind kind, String node, String key, long sequence) {
        return new GossipItem(kind, node, key, sequence, 1_000, new byte[] {(byte) sequence});
    }

    @Property(seed = "3", tries = 200)
    void hashIsIndependentOfOrder(@ForAll("items") List<GossipItem> items) {
        ItemStore forward = new ItemStore();
        ItemStore backward = new ItemStore();
        for (int i = 0; i < items.size(); i++) {
            forward.offer(items.get(i), 0);
            backward.offer(items.get(items.size() - 1 - i), 0);
        }
        assertThat(forward.hash()).isEqualTo(backward.hash());
        assertThat(forward.size()).isEqualTo(backward.size());
        forward.expire(1_000);
        assertThat(forward.size()).isZero();
        assertThat(forward.hash()).isZero();
    }

    @Test
    void limitsEvidencePerNode() {
        ItemStore store = new ItemStore();
        for (int i = 0; i < 2 * ItemStore.MAX_EVIDENCE_ITEMS_PER_NODE; i++) {
            store.offer(item(GossipItem.Kind.EVIDENCE, "a", "key" + i, 1), 0);
        }
        assertThat(store.size()).isEqualTo(ItemStore.MAX_EVIDENCE_ITEMS_PER_NODE);
        assertThat(store.offer(item(GossipItem.Kind.EVIDENCE, "b", "key", 1), 0))
                .isEqualTo(ItemStore.OfferResult.ACCEPTED);
    }
}
