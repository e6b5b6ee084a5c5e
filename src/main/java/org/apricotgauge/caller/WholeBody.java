package org.apricotgauge.caller;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.Retainable;

/** A body that has been read completely; tells once when its bytes are no longer needed. */
final class WholeBody implements Content.Source {
    private final byte[] mBytes;
    private final Runnable mOnReleased;
    private final AtomicBoolean mReleased = new AtomicBoolean();
    private Content.Chunk mNext;

    WholeBody(byte[] bytes, Runnable onReleased) {
        mBytes = bytes;
        mOnReleased = onReleased;
        mNext = Content.Chunk.asChunk(ByteBuffer.wrap(bytes), true, new Release());
    }

    /** Releases the bytes once the last reader has. */
    private final class Release extends Retainable.ReferenceCounter {
        @Override
        public boolean release() {
            boolean isLast = super.release();
            if (isLast) {
                releaseOnce();
            }
            return isLast;
        }
    }

    private void releaseOnce() {
        if (mReleased.compareAndSet(false, true)) {
            mOnReleased.run();
        }
    }

    @Override
    public long getLength() {
        return mBytes.length;
    }

    @Override
    public synchronized Content.Chunk read() {
        Content.Chunk chunk = mNext;
        mNext = Content.Chunk.next(chunk);
        return chunk;
    }

    @Override
    public void demand(Runnable onAvailable) {
        onAvailable.run();
    }

    @Override
    public void fail(Throwable failure) {
        synchronized (this) {
            mNext = Content.Chunk.from(failure, true);
        }
        releaseOnce();
    }
}
