package org.apricotgauge.platform;

import java.util.concurrent.CompletableFuture;

/**
 * Reads what the platform publishes; nothing can be written to it.
 *
 * <pre>{@code
 * client.readLog(history.position() + 1, 100, 20_000).thenAccept(this::apply);
 * }</pre>
 *
 * <p>Every call counts against the platform's 2,000 reads a second, a waiting one as one call. A
 * call that fails ends its future with {@link PlatformException}. What comes back may be stale: a
 * reader compares it with what it has. Implementations are safe to share between threads.
 */
public interface PlatformClient extends AutoCloseable {

    /**
     * Reads entries of the log from a position on.
     *
     * @param fromPosition first position wanted, 1 or more
     * @param limit most entries wanted; 0 asks for the head only
     * @param waitMillis answer once the head reaches {@code fromPosition}, or after this time; 0
     *     answers at once
     */
    CompletableFuture<LogPage> readLog(long fromPosition, int limit, long waitMillis);

    /**
     * Reads the changes of the list of VMs after a revision.
     *
     * @param sinceRevision revision that the reader holds; 0 for none
     * @param limit most VMs wanted, 1 or more
     * @param waitMillis answer once there is a later revision, or after this time
     */
    CompletableFuture<VmPage> readVms(long sinceRevision, int limit, long waitMillis);

    /** Reads which snapshot is the newest; {@link SnapshotHeader#NONE} if there is none. */
    CompletableFuture<SnapshotHeader> readSnapshotHeader();

    /**
     * Reads one chunk of a snapshot.
     *
     * @param position the snapshot's position, from its header
     * @param chunk index of the chunk, from 0
     */
    CompletableFuture<byte[]> readSnapshotChunk(long position, int chunk);

    @Override
    void close();
}
