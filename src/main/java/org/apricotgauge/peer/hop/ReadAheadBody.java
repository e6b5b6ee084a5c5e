package org.apricotgauge.peer.hop;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;

/**
 * The body of an answer, read ahead of a slow reader, as the buffers of a connection would be.
 *
 * <pre>{@code
 * ReadAheadBody readAhead = new ReadAheadBody(body, whenRead, heldBytes);
 * listener.onAnswer(answer, readAhead);
 * readAhead.start();
 * }</pre>
 *
 * <p>The target's slot is free once the source was read to its end, however slow the reader is. At
 * most {@link #MAX_BYTES} are held, and one more chunk. Thread-safe.
 */
final class ReadAheadBody implements Content.Source {
    /** Most bytes that are held for one reader. */
    static final int MAX_BYTES = 1_048_576;

    private static final Logger LOGGER = Logger.getLogger(ReadAheadBody.class);

    private final Content.Source mSource;
    private final Callback mWhenRead;
    private final HeldBytes mHeldBytes;
    private final Deque<Content.Chunk> mChunks = new ArrayDeque<>();
    private long mBytes;
    private Runnable mDemand;
    private boolean mPaused;
    private boolean mSourceEnded;
    private boolean mEnded;
    private Throwable mFailure;

    /**
     * Creates a body that has read nothing yet.
     *
     * @param whenRead succeeds once the source was read to its end
     */
    ReadAheadBody(Content.Source source, Callback whenRead, HeldBytes heldBytes) {
        mSource = source;
        mWhenRead = whenRead;
        mHeldBytes = heldBytes;
    }

    /** Starts to read ahead. */
    void start() {
        readAhead();
    }

    private void readAhead() {
        while (true) {
            synchronized (this) {
                if (mSourceEnded) {
                    return;
                }
                // A reader without any chunk would wait for others to read theirs.
                mPaused = mBytes > 0 && (mBytes >= MAX_BYTES || mHeldBytes.isFull());
                if (mPaused) {
                    return;
                }
            }
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(this::readAhead);
                return;
            }
            if (add(chunk)) {
                return;
            }
        }
    }

    /** Adds a chunk for the reader; returns whether it was the last one. */
    private boolean add(Content.Chunk chunk) {
        boolean failed = Content.Chunk.isFailure(chunk);
        boolean last = failed || chunk.isLast();
        Runnable demand;
        synchronized (this) {
            if (mSourceEnded) {
                chunk.release();
                return true;
            }
            mChunks.add(chunk);
            count(chunk.remaining());
            mSourceEnded = last;
            demand = mDemand;
            mDemand = null;
        }
        run(demand);
        if (failed) {
            mWhenRead.failed(chunk.getFailure());
        } else if (last) {
            mWhenRead.succeeded();
        }
        return last;
    }

    // The reader is the entry; its failure must not leave the guard's request without an end.
    private void run(Runnable demand) {
        if (demand == null) {
            return;
        }
        try {
            demand.run();
        } catch (RuntimeException | Error e) {
            LOGGER.errorf(e, "reader of an answer failed");
            fail(e);
        }
    }

    private void count(long bytes) {
        mBytes += bytes;
        mHeldBytes.add(bytes);
    }

    @Override
    public long getLength() {
        return mSource.getLength();
    }

    @Override
    public Content.Chunk read() {
        Content.Chunk chunk;
        boolean resumes;
        synchronized (this) {
            if (mFailure != null) {
                return Content.Chunk.from(mFailure, true);
            }
            chunk = mChunks.poll();
            if (chunk == null) {
                return mEnded ? Content.Chunk.EOF : null;
            }
            count(-chunk.remaining());
            if (Content.Chunk.isFailure(chunk)) {
                mFailure = chunk.getFailure();
            }
            mEnded = chunk.isLast();
            resumes = mPaused;
            mPaused = false;
        }
        if (resumes) {
            readAhead();
        }
        return chunk;
    }

    @Override
    public void demand(Runnable onAvailable) {
        synchronized (this) {
            if (mFailure == null && !mEnded && mChunks.isEmpty()) {
                mDemand = onAvailable;
                return;
            }
        }
        onAvailable.run();
    }

    @Override
    public void fail(Throwable failure) {
        boolean endsSource;
        Runnable demand;
        synchronized (this) {
            if (mEnded || mFailure != null) {
                return;
            }
            mFailure = failure == null ? new IOException("answer aborted") : failure;
            mChunks.forEach(Content.Chunk::release);
            mChunks.clear();
            count(-mBytes);
            endsSource = !mSourceEnded;
            mSourceEnded = true;
            demand = mDemand;
            mDemand = null;
        }
        if (endsSource) {
            mSource.fail(mFailure);
            mWhenRead.failed(mFailure);
        }
        run(demand);
    }
}
