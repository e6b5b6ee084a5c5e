package org.apricotgauge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;

/**
 * A request body that can be sent more than once while it is small, and is streamed otherwise.
 *
 * <pre>{@code
 * ReplayableBody body = new ReplayableBody(callerRequest, 65_536);
 * upstream.body(body.open());
 * // the attempt failed and is proven not run
 * if (body.canReplay()) {
 *     other.body(body.open());
 * }
 * }</pre>
 *
 * <p>At most {@code maxBufferedBytes} are buffered; beyond that the buffer is dropped and the body
 * cannot be sent again, so that only small bodies are buffered in full. Opening the body again
 * invalidates the content returned before: a late reader of an abandoned attempt gets an error,
 * never bytes meant for the next one.
 */
public final class ReplayableBody {
    private final Content.Source mSource;
    private final int mMaxBufferedBytes;
    private final int mMaxLargeBytes;
    private final ByteBudget mLargeBodies;
    private final Object mLock = new Object();
    private final List<byte[]> mBuffered = new ArrayList<>();
    private int mBufferedBytes;
    private long mReservedBytes;
    private boolean mReleased;
    private boolean mOverflowed;
    private boolean mSourceEnded;
    private boolean mDemandPending;
    private final List<AttemptContent> mReaders = new ArrayList<>(1);

    /**
     * Creates a body.
     *
     * @param source source of the bytes
     * @param maxBufferedBytes maximum number of bytes to buffer, not negative
     */
    public ReplayableBody(Content.Source source, int maxBufferedBytes) {
        this(source, maxBufferedBytes, maxBufferedBytes, new ByteBudget(0));
    }

    /**
     * Creates a body that may be buffered beyond its own bound while the node has room.
     *
     * @param source source of the bytes
     * @param maxBufferedBytes maximum number of bytes to buffer in any case, not negative
     * @param maxLargeBytes maximum number of bytes to buffer, from {@code maxBufferedBytes}
     * @param largeBodies bounds the bytes that all bodies of the node buffer beyond {@code
     *     maxBufferedBytes}; they are given back by {@link #release}
     */
    public ReplayableBody(
            Content.Source source,
            int maxBufferedBytes,
            int maxLargeBytes,
            ByteBudget largeBodies) {
        mSource = Checks.notNull("source", source);
        mMaxBufferedBytes =
                (int) Checks.inRange("maxBufferedBytes", maxBufferedBytes, 0, Integer.MAX_VALUE);
        mMaxLargeBytes =
                (int)
                        Checks.inRange(
                                "maxLargeBytes",
                                maxLargeBytes,
                                maxBufferedBytes,
                                Integer.MAX_VALUE);
        mLargeBodies = Checks.notNull("largeBodies", largeBodies);
    }

    /**
     * Drops what is buffered, once the request has ended; it can't be sent again. A reader that is
     * still in the buffered part reads it to its end first.
     */
    public void release() {
        synchronized (mLock) {
            mReleased = true;
            mLargeBodies.release(mReservedBytes);
            mReservedBytes = 0;
            dropIfRead();
        }
    }

    private void dropIfRead() {
        if (mReaders.stream().allMatch(one -> one.mNextBuffered >= mBuffered.size())) {
            drop();
        }
    }

    private void drop() {
        mOverflowed = true;
        mBuffered.clear();
        mReaders.forEach(reader -> reader.mNextBuffered = 0);
        mLargeBodies.release(mReservedBytes);
        mReservedBytes = 0;
    }

    /** Returns whether the body can still be sent from its start. */
    public boolean canReplay() {
        synchronized (mLock) {
            return !mOverflowed && !mReleased;
        }
    }

    /** Returns the number of bytes that are buffered. */
    public int bufferedBytes() {
        synchronized (mLock) {
            return mBufferedBytes;
        }
    }

    /**
     * Returns the body from its start, for one attempt; invalidates the content opened before. Of a
     * request that has ended, it can't be read.
     *
     * @throws IllegalStateException if the body cannot be sent again
     */
    public Request.Content open() {
        synchronized (mLock) {
            if (mReleased) {
                return new AttemptContent();
            }
            if (mOverflowed) {
                throw new IllegalStateException(
                        "cannot reopen a body of over " + mMaxBufferedBytes + " bytes");
            }
            mReaders.clear();
            return openBeside();
        }
    }

    /**
     * Returns the body from its start, for an attempt beside the earlier ones, whose contents stay
     * valid. If the body can't be sent again, as the earlier attempts may have found out meanwhile,
     * it can't be read. One reader goes on if it can't be buffered any more.
     */
    public Request.Content openBeside() {
        synchronized (mLock) {
            AttemptContent content = new AttemptContent();
            if (!mReleased && !mOverflowed) {
                mReaders.add(content);
            }
            return content;
        }
    }

    /**
     * Reads and buffers the first bytes before the body is opened, as many as the hash needs.
     *
     * @return completes once the hash is complete; fails if the body is truncated before
     */
    public CompletableFuture<Void> readAhead(BodyHash hash) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        readAhead(hash, done);
        return done;
    }

    private void readAhead(BodyHash hash, CompletableFuture<Void> done) {
        while (!hash.isComplete()) {
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(() -> readAhead(hash, done));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                done.completeExceptionally(chunk.getFailure());
                return;
            }
            bufferReadAhead(chunk, hash);
        }
        done.complete(null);
    }

    private void bufferReadAhead(Content.Chunk chunk, BodyHash hash) {
        byte[] copy = new byte[chunk.remaining()];
        chunk.getByteBuffer().slice().get(copy);
        hash.update(ByteBuffer.wrap(copy));
        synchronized (mLock) {
            if (copy.length > 0) {
                mBuffered.add(copy);
                mBufferedBytes += copy.length;
            }
            mSourceEnded |= chunk.isLast();
        }
        if (chunk.isLast()) {
            hash.end();
        }
        chunk.release();
    }

    private Content.Chunk readFor(AttemptContent content) {
        synchronized (mLock) {
            if (!mReaders.contains(content)) {
                return Content.Chunk.from(new IOException("attempt was abandoned"), true);
            }
            if (content.mNextBuffered < mBuffered.size()) {
                byte[] bytes = mBuffered.get(content.mNextBuffered++);
                boolean last = mSourceEnded && content.mNextBuffered == mBuffered.size();
                content.mEnded = last;
                if (mReleased) {
                    dropIfRead();
                }
                return Content.Chunk.from(ByteBuffer.wrap(bytes), last);
            }
            if (mSourceEnded) {
                content.mEnded = true;
                return Content.Chunk.EOF;
            }
            if (mDemandPending) {
                return null;
            }
            return readSource(content);
        }
    }

    private Content.Chunk readSource(AttemptContent content) {
        Content.Chunk chunk = mSource.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        if (chunk.isLast()) {
            mSourceEnded = true;
            content.mEnded = true;
        }
        buffer(content, chunk);
        return chunk;
    }

    private void buffer(AttemptContent content, Content.Chunk chunk) {
        if (!chunk.hasRemaining()) {
            return;
        }
        if (mOverflowed || !tryReserve(chunk.remaining())) {
            // Other readers would miss the chunk.
            mReaders.retainAll(List.of(content));
            drop();
            return;
        }
        byte[] copy = new byte[chunk.remaining()];
        chunk.getByteBuffer().slice().get(copy);
        mBuffered.add(copy);
        mBufferedBytes += copy.length;
        content.mNextBuffered = mBuffered.size();
    }

    private boolean tryReserve(int bytes) {
        long total = (long) mBufferedBytes + bytes;
        if (total <= mMaxBufferedBytes) {
            return true;
        }
        long needed = total - mMaxBufferedBytes - mReservedBytes;
        if (mReleased || total > mMaxLargeBytes || !mLargeBodies.tryReserve(needed)) {
            return false;
        }
        mReservedBytes += needed;
        return true;
    }

    private void demandFor(AttemptContent content, Runnable onAvailable) {
        boolean runNow;
        synchronized (mLock) {
            content.mOnAvailable = onAvailable;
            runNow =
                    !mReaders.contains(content)
                            || content.mNextBuffered < mBuffered.size()
                            || mSourceEnded;
            if (runNow) {
                content.mOnAvailable = null;
            } else if (mDemandPending) {
                return;
            } else {
                mDemandPending = true;
            }
        }
        if (runNow) {
            onAvailable.run();
        } else {
            mSource.demand(this::onSourceAvailable);
        }
    }

    private void onSourceAvailable() {
        List<Runnable> waiting;
        synchronized (mLock) {
            mDemandPending = false;
            waiting = takeWaiting();
        }
        waiting.forEach(Runnable::run);
    }

    private List<Runnable> takeWaiting() {
        List<Runnable> waiting = new ArrayList<>(1);
        for (AttemptContent content : mReaders) {
            if (content.mOnAvailable != null) {
                waiting.add(content.mOnAvailable);
                content.mOnAvailable = null;
            }
        }
        return waiting;
    }

    /** The body as read by one attempt. */
    private final class AttemptContent implements Request.Content {
        private int mNextBuffered;
        private boolean mEnded;
        private Runnable mOnAvailable;
        private Throwable mFailure;

        @Override
        public long getLength() {
            return mSource.getLength();
        }

        @Override
        public Content.Chunk read() {
            synchronized (mLock) {
                if (mFailure != null) {
                    return Content.Chunk.from(mFailure, true);
                }
                if (mEnded) {
                    return Content.Chunk.EOF;
                }
            }
            return readFor(this);
        }

        @Override
        public void demand(Runnable onAvailable) {
            demandFor(this, onAvailable);
        }

        @Override
        public void fail(Throwable failure) {
            synchronized (mLock) {
                if (mFailure == null) {
                    mFailure = failure;
                }
                mReaders.remove(this);
            }
        }
    }
}
