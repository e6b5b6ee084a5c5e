package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests that parts close beside each other. */
class ParallelCloseTest {
    private static final int GENEROUS_MILLIS = 60_000;

    // Guards against a part that stops slowly and keeps the callers' port open until the kill.
    @Test
    void aSlowPartDelaysNoOther() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        ParallelClose close = new ParallelClose(List.of(never::await, closed::countDown));

        closed.await();

        List<Long> tookMillis = close.await(1);
        assertThat(tookMillis.get(0)).isEqualTo(ParallelClose.UNFINISHED);
        never.countDown();
        assertThat(close.await(GENEROUS_MILLIS)).allMatch(millis -> millis >= 0);
    }

    // Guards against a part that fails and ends the close of the others.
    @Test
    void aPartThatFailsIsClosed() throws Exception {
        ParallelClose close =
                new ParallelClose(
                        List.of(
                                () -> {
                                    throw new IllegalStateException("fails on purpose");
                                }));

        assertThat(close.await(GENEROUS_MILLIS)).allMatch(millis -> millis >= 0);
    }
}
