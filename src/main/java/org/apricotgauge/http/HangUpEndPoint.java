package org.apricotgauge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that notices a hang-up while its request is at work.
 *
 * <pre>{@code
 * HangUpEndPoint.watch(request, this::callerGone);
 * }</pre>
 *
 * <p>Jetty's HTTP/1.1 connection does not read while a request is handled, so that a caller who
 * hangs up keeps a slot of a target busy until the answer is written to nobody. This end point goes
 * on reading in its place, into a buffer of {@link #READ_AHEAD_BYTES}: what a caller pipelines is
 * kept for the connection, an end of the stream tells the watcher. With the buffer full it stops
 * reading, and a hang-up behind that much pipelined data is seen when the answer is written.
 */
public final class HangUpEndPoint extends SocketChannelEndPoint {
    /** Room for the heads of a few pipelined requests; taken only by callers that pipeline. */
    static final int READ_AHEAD_BYTES = 16_384;

    private final Executor mExecutor;
    private final Object mLock = new Object();
    private ByteBuffer mAhead;
    private boolean mEnded;
    private boolean mRegistered;
    private Callback mReader;
    private Runnable mWatcher;

    HangUpEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler timers,
            Executor executor) {
        super(channel, selector, key, timers);
        mExecutor = Checks.notNull("executor", executor);
    }

    /**
     * Calls the watcher once should the caller of the request hang up; a request on another kind of
     * connection is not watched. The watch ends with {@link #release}.
     */
    public static void watch(Request request, Runnable watcher) {
        Checks.notNull("watcher", watcher);
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof HangUpEndPoint endPoint) {
            endPoint.watch(watcher);
        }
    }

    /** Ends the watch of the request's connection, before its answer ends. */
    public static void release(Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof HangUpEndPoint endPoint) {
            endPoint.watch(null);
        }
    }

    private void watch(Runnable watcher) {
        boolean ended;
        synchronized (mLock) {
            mWatcher = watcher;
            ended = mEnded;
        }
        if (watcher == null) {
            return;
        }
        if (ended) {
            hungUp();
        } else {
            register();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        Checks.notNull("callback", callback);
        boolean ready;
        synchronized (mLock) {
            if (mReader != null) {
                return false;
            }
            ready = mEnded || hasAhead();
            if (!ready) {
                mReader = callback;
            }
        }
        if (ready) {
            // Not on this stack: the connection calls from within its own reading.
            mExecutor.execute(callback::succeeded);
        } else {
            register();
        }
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (mLock) {
            return mReader != null;
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (mLock) {
            if (hasAhead()) {
                return take(buffer);
            }
            if (mEnded) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    private boolean hasAhead() {
        return mAhead != null && mAhead.hasRemaining();
    }

    // Jetty's buffers for filling are in flush mode: their content ends at the limit.
    private int take(ByteBuffer buffer) {
        int position = BufferUtil.flipToFill(buffer);
        int count = Math.min(buffer.remaining(), mAhead.remaining());
        buffer.put(buffer.position(), mAhead, mAhead.position(), count);
        buffer.position(buffer.position() + count);
        mAhead.position(mAhead.position() + count);
        BufferUtil.flipToFlush(buffer, position);
        if (!mAhead.hasRemaining()) {
            mAhead = null;
        }
        return count;
    }

    private void register() {
        synchronized (mLock) {
            if (mRegistered || (mReader == null && mWatcher == null)) {
                return;
            }
            mRegistered = true;
        }
        super.fillInterested(new Readable());
    }

    private void readAhead() {
        boolean ended;
        boolean goOn;
        synchronized (mLock) {
            if (mWatcher == null) {
                return;
            }
            if (mAhead == null) {
                mAhead = ByteBuffer.allocate(READ_AHEAD_BYTES).limit(0);
            }
            int count = fillAhead();
            ended = count < 0;
            mEnded |= ended;
            goOn = !ended && mAhead.limit() < mAhead.capacity();
            if (!mAhead.hasRemaining()) {
                mAhead = null;
            }
        }
        if (ended) {
            hungUp();
        } else if (goOn) {
            register();
        }
    }

    private int fillAhead() {
        try {
            return super.fill(mAhead);
        } catch (IOException e) {
            // A reset is a hang-up, too; the connection meets it itself when it next reads.
            return -1;
        }
    }

    private void hungUp() {
        Runnable watcher;
        synchronized (mLock) {
            watcher = mWatcher;
            mWatcher = null;
        }
        if (watcher != null) {
            watcher.run();
        }
    }

    /** Hears from the selector, for the connection if it waits to read, else for the watcher. */
    private final class Readable implements Callback {
        @Override
        public void succeeded() {
            Callback reader = takeReader();
            if (reader != null) {
                reader.succeeded();
            } else {
                readAhead();
            }
        }

        @Override
        public void failed(Throwable failure) {
            Callback reader = takeReader();
            if (reader != null) {
                reader.failed(failure);
            } else if (failure instanceof TimeoutException) {
                // The idle timeout measures bytes; a caller that waits for its answer sends none.
                register();
            } else {
                hungUp();
            }
        }

        @Override
        public InvocationType getInvocationType() {
            synchronized (mLock) {
                return mReader == null ? InvocationType.NON_BLOCKING : mReader.getInvocationType();
            }
        }

        private Callback takeReader() {
            synchronized (mLock) {
                mRegistered = false;
                Callback reader = mReader;
                mReader = null;
                return reader;
            }
        }
    }

    /** Returns what a watcher hands on as the cause of a cancelled request. */
    public static EofException hangUp() {
        return new EofException("the caller hung up");
    }
}
