package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;

/**
 * Closes parts beside each other, so that a slow one delays no other.
 *
 * <pre>{@code
 * ParallelClose close = new ParallelClose(List.of(entry::close, guard::close));
 * List<Long> tookMillis = close.await(200);
 * }</pre>
 */
final class ParallelClose {
    /** Told of a part that was not closed in time. */
    static final long UNFINISHED = -1;

    private static final Logger LOGGER = Logger.getLogger(ParallelClose.class);

    private final List<CompletableFuture<Long>> mTookMillis = new ArrayList<>();

    /** Begins to close the parts, each on a thread that keeps no process running. */
    ParallelClose(List<NodeHttp.Stoppable> parts) {
        for (NodeHttp.Stoppable part : parts) {
            CompletableFuture<Long> tookMillis = new CompletableFuture<>();
            mTookMillis.add(tookMillis);
            Thread thread = new Thread(() -> close(part, tookMillis), "node-close");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void close(NodeHttp.Stoppable part, CompletableFuture<Long> tookMillis) {
        long beginNanos = System.nanoTime();
        try {
            NodeHttp.stop(part);
        } finally {
            tookMillis.complete(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos));
        }
    }

    /** Waits at most so long in all, and returns how long each part took to close. */
    List<Long> await(long timeoutMillis) throws InterruptedException {
        CompletableFuture<Void> all =
                CompletableFuture.allOf(mTookMillis.toArray(CompletableFuture<?>[]::new));
        try {
            all.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOGGER.warnf("a part of the node was not closed in %d ms", timeoutMillis);
        }
        return mTookMillis.stream().map(took -> took.getNow(UNFINISHED)).toList();
    }
}
