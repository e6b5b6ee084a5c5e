package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

class RetryPauseTest {
    private final RetryPause mPause = new RetryPause(new SplittableRandom(1));

    private static ReaderTree treeOf(String self, int nodes) {
        List<ReaderTree.Node> site =
                IntStream.range(0, nodes)
                        .mapToObj(i -> new ReaderTree.Node(new Address("n" + i, 80), "a"))
                        .toList();
        return new ReaderTree(new ReaderTree.Node(new Address(self, 80), "a"), site);
    }

    @Test
    void aReaderOfThePlatformKeepsASteadyPace() {
        ReaderTree alone = ReaderTree.alone();
        assertThat(mPause.nextMillis(alone)).isEqualTo(RetryPause.FIRST_MILLIS);
        IntStream.range(0, 10).forEach(i -> mPause.nextMillis(alone));
        assertThat(mPause.nextMillis(alone)).isEqualTo(RetryPause.LONGEST_MILLIS);
        mPause.reset();
        assertThat(mPause.nextMillis(alone)).isEqualTo(RetryPause.FIRST_MILLIS);
    }

    @Test
    void allOthersTogetherCallAtARateThatDoesNotGrowWithTheirNumber() {
        for (int nodes : List.of(100, 1_000, 7_000)) {
            ReaderTree tree = treeOf("stranger", nodes);
            double meanMillis =
                    IntStream.range(0, 2_000)
                            .mapToLong(i -> mPause.nextMillis(tree))
                            .average()
                            .orElseThrow();
            assertThat(1_000 * nodes / meanMillis)
                    .isLessThan(1_000.0 / RetryPause.A_NODE_MILLIS + 2);
        }
    }
}
