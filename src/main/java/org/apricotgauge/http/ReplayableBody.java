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
 * A request body that can be sent more than once while it is small, and streams when it is not.
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
 * <p>At most {@code limitBytes} are kept; past that the kept part is dropped and the body cannot be
 * sent again, so no body is held whole unless it is small. Opening it anew cuts off the view given
 * out before: a late reader of an abandoned attempt gets an error, never bytes meant for the next.
 */
public final class ReplayableBody {
    private final Content.Source mSource;
    private final int mMaxBufferedBytes;
    private final Object mLock = new Object();
    private final List<byte[]> mBuffered = new ArrayList<>();
    private int mBufferedBytes;
    private boolean mOverflowed;
    private boolean mSourceEnded;
    private boolean mDemandPending;
    private AttemptContent mCurrentAttempt;

    /**
     * Creates a body.
     *
     * @param source where the bytes come from
     * @param limitBytes how many bytes are kept at most, not negative
     */
    public ReplayableBody(Content.Source source, int limitBytes) {
        mSource = Checks.notNull("source", source);
        mMaxBufferedBytes = (int) Checks.inRange("limitBytes", limitBytes, 0, Integer.MAX_VALUE);
    }

    /** Returns whether the body can still be sent from its start. */
    public boolean canReplay() {
        synchronized (mLock) {
            return !mOverflowed;
        }
    }

    /**
     * Returns the body from its start, for one attempt; the view opened before is cut off.
     *
     * @throws IllegalStateException if the body cannot be sent again
     */
    public Request.Content open() {
        synchronized (mLock) {
            if (mOverflowed) {
                throw new IllegalStateException(
                        "body of over " + mMaxBufferedBytes + " bytes reopened");
            }
            mCurrentAttempt = new AttemptContent();
            return mCurrentAttempt;
        }
    }

    /**
     * Reads the first bytes before the body is opened, as many as the hash needs, and keeps them.
     *
     * @return completes once the hash is complete; fails if the body breaks off before
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

    private Content.Chunk readFor(AttemptContent view) {
        synchronized (mLock) {
            if (view != mCurrentAttempt) {
                return Content.Chunk.from(new IOException("attempt was abandoned"), true);
            }
            if (view.mNextBuffered < mBuffered.size()) {
                byte[] kept = mBuffered.get(view.mNextBuffered++);
                boolean last = mSourceEnded && view.mNextBuffered == mBuffered.size();
                view.mEnded = last;
                return Content.Chunk.from(ByteBuffer.wrap(kept), last);
            }
            if (mSourceEnded) {
                view.mEnded = true;
                return Content.Chunk.EOF;
            }
            if (mDemandPending) {
                return null;
            }
            return readSource(view);
        }
    }

    private Content.Chunk readSource(AttemptContent view) {
        Content.Chunk chunk = mSource.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        if (chunk.isLast()) {
            mSourceEnded = true;
            view.mEnded = true;
        }
        buffer(view, chunk);
        return chunk;
    }

    private void buffer(AttemptContent view, Content.Chunk chunk) {
        if (mOverflowed || !chunk.hasRemaining()) {
            return;
        }
        if (mBufferedBytes + chunk.remaining() > mMaxBufferedBytes) {
            mOverflowed = true;
            mBuffered.clear();
            view.mNextBuffered = 0;
            return;
        }
        byte[] copy = new byte[chunk.remaining()];
        chunk.getByteBuffer().slice().get(copy);
        mBuffered.add(copy);
        mBufferedBytes += copy.length;
        view.mNextBuffered = mBuffered.size();
    }

    private void demandFor(AttemptContent view, Runnable onAvailable) {
        boolean runNow;
        synchronized (mLock) {
            view.mOnAvailable = onAvailable;
            runNow =
                    view != mCurrentAttempt
                            || view.mNextBuffered < mBuffered.size()
                            || mSourceEnded;
            if (runNow) {
                view.mOnAvailable = null;
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
        Runnable onAvailable = null;
        synchronized (mLock) {
            mDemandPending = false;
            if (mCurrentAttempt != null) {
                onAvailable = mCurrentAttempt.mOnAvailable;
                mCurrentAttempt.mOnAvailable = null;
            }
        }
        if (onAvailable != null) {
            onAvailable.run();
        }
    }

    /** The body as one attempt sees it. */
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
            }
        }
    }
}
