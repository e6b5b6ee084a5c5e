package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

class RetryBackoffTest {
    private final RetryBackoff mBackoff = new RetryBackoff(new SplittableRandom(1));

    private static ReaderTree treeOf(String self, int nodes) {
        List<ReaderTree.Node> site =
                IntStream.range(0, nodes)
                        .mapToObj(i -> new ReaderTree.Node(new Address("n" + i, 80), "a"))
                        .toList();
        return new ReaderTree(new ReaderTree.Node(new Address(self, 80), "a"), site);
    }

    @Test
    void platformReaderBacksOffToFixedMaximum() {
        ReaderTree alone = ReaderTree.ofSingleNode();
        assertThat(mBackoff.nextMillis(alone)).isEqualTo(RetryBackoff.INITIAL_MILLIS);
        IntStream.range(0, 10).forEach(i -> mBackoff.nextMillis(alone));
        assertThat(mBackoff.nextMillis(alone)).isEqualTo(RetryBackoff.MAX_MILLIS);
        mBackoff.reset();
        assertThat(mBackoff.nextMillis(alone)).isEqualTo(RetryBackoff.INITIAL_MILLIS);
    }

    @Test
    void combinedRateOfOtherNodesDoesNotGrowWithTheirNumber() {
        for (int nodes : List.of(100, 1_000, 7_000)) {
            ReaderTree tree = treeOf("stranger", nodes);
            double meanMillis =
                    IntStream.range(0, 2_000)
                            .mapToLong(i -> mBackoff.nextMillis(tree))
                            .average()
                            .orElseThrow();
            assertThat(1_000 * nodes / meanMillis)
                    .isLessThan(1_000.0 / RetryBackoff.MILLIS_PER_NODE + 2);
        }
    }
}
