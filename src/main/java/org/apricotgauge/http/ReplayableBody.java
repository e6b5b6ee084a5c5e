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
    private final int mLimitBytes;
    private final Object mLock = new Object();
    private final List<byte[]> mKept = new ArrayList<>();
    private int mKeptBytes;
    private boolean mOverflowed;
    private boolean mSourceEnded;
    private boolean mDemandPending;
    private View mCurrent;

    /**
     * Creates a body.
     *
     * @param source where the bytes come from
     * @param limitBytes how many bytes are kept at most, not negative
     */
    public ReplayableBody(Content.Source source, int limitBytes) {
        mSource = Checks.notNull("source", source);
        mLimitBytes = (int) Checks.inRange("limitBytes", limitBytes, 0, Integer.MAX_VALUE);
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
                throw new IllegalStateException("body of over " + mLimitBytes + " bytes reopened");
            }
            mCurrent = new View();
            return mCurrent;
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
            keepAhead(chunk, hash);
        }
        done.complete(null);
    }

    private void keepAhead(Content.Chunk chunk, BodyHash hash) {
        byte[] copy = new byte[chunk.remaining()];
        chunk.getByteBuffer().slice().get(copy);
        hash.update(ByteBuffer.wrap(copy));
        synchronized (mLock) {
            if (copy.length > 0) {
                mKept.add(copy);
                mKeptBytes += copy.length;
            }
            mSourceEnded |= chunk.isLast();
        }
        if (chunk.isLast()) {
            hash.end();
        }
        chunk.release();
    }

    private Content.Chunk readFor(View view) {
        synchronized (mLock) {
            if (view != mCurrent) {
                return Content.Chunk.from(new IOException("attempt was abandoned"), true);
            }
            if (view.mNextKept < mKept.size()) {
                byte[] kept = mKept.get(view.mNextKept++);
                boolean last = mSourceEnded && view.mNextKept == mKept.size();
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

    private Content.Chunk readSource(View view) {
        Content.Chunk chunk = mSource.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        if (chunk.isLast()) {
            mSourceEnded = true;
            view.mEnded = true;
        }
        keep(view, chunk);
        return chunk;
    }

    private void keep(View view, Content.Chunk chunk) {
        if (mOverflowed || !chunk.hasRemaining()) {
            return;
        }
        if (mKeptBytes + chunk.remaining() > mLimitBytes) {
            mOverflowed = true;
            mKept.clear();
            view.mNextKept = 0;
            return;
        }
        byte[] copy = new byte[chunk.remaining()];
        chunk.getByteBuffer().slice().get(copy);
        mKept.add(copy);
        mKeptBytes += copy.length;
        view.mNextKept = mKept.size();
    }

    private void demandFor(View view, Runnable onAvailable) {
        boolean runNow;
        synchronized (mLock) {
            view.mOnAvailable = onAvailable;
            runNow = view != mCurrent || view.mNextKept < mKept.size() || mSourceEnded;
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
            mSource.demand(this::sourceAvailable);
        }
    }

    private void sourceAvailable() {
        Runnable onAvailable = null;
        synchronized (mLock) {
            mDemandPending = false;
            if (mCurrent != null) {
                onAvailable = mCurrent.mOnAvailable;
                mCurrent.mOnAvailable = null;
            }
        }
        if (onAvailable != null) {
            onAvailable.run();
        }
    }

    /** The body as one attempt sees it. */
    private final class View implements Request.Content {
        private int mNextKept;
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
