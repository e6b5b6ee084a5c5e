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
public final class DisconnectDetectingEndPoint extends SocketChannelEndPoint {
    /** Room for the heads of a few pipelined requests; taken only by callers that pipeline. */
    static final int READ_AHEAD_BYTES = 16_384;

    private final Executor mExecutor;
    private final Object mLock = new Object();
    private ByteBuffer mReadAhead;
    private boolean mEndOfStream;
    private boolean mRegistered;
    private Callback mPendingRead;
    private Runnable mOnDisconnect;

    DisconnectDetectingEndPoint(
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
     * connection is not watched. The watch ends with {@link #unwatch}.
     */
    public static void watch(Request request, Runnable watcher) {
        Checks.notNull("watcher", watcher);
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof DisconnectDetectingEndPoint endPoint) {
            endPoint.watch(watcher);
        }
    }

    /** Ends the watch of the request's connection, before its answer ends. */
    public static void unwatch(Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof DisconnectDetectingEndPoint endPoint) {
            endPoint.watch(null);
        }
    }

    private void watch(Runnable watcher) {
        boolean ended;
        synchronized (mLock) {
            mOnDisconnect = watcher;
            ended = mEndOfStream;
        }
        if (watcher == null) {
            return;
        }
        if (ended) {
            notifyDisconnected();
        } else {
            registerForRead();
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
            if (mPendingRead != null) {
                return false;
            }
            ready = mEndOfStream || hasReadAhead();
            if (!ready) {
                mPendingRead = callback;
            }
        }
        if (ready) {
            // Not on this stack: the connection calls from within its own reading.
            mExecutor.execute(callback::succeeded);
        } else {
            registerForRead();
        }
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (mLock) {
            return mPendingRead != null;
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (mLock) {
            if (hasReadAhead()) {
                return readFromBuffer(buffer);
            }
            if (mEndOfStream) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    private boolean hasReadAhead() {
        return mReadAhead != null && mReadAhead.hasRemaining();
    }

    // Jetty's buffers for filling are in flush mode: their content ends at the limit.
    private int readFromBuffer(ByteBuffer buffer) {
        int position = BufferUtil.flipToFill(buffer);
        int count = Math.min(buffer.remaining(), mReadAhead.remaining());
        buffer.put(buffer.position(), mReadAhead, mReadAhead.position(), count);
        buffer.position(buffer.position() + count);
        mReadAhead.position(mReadAhead.position() + count);
        BufferUtil.flipToFlush(buffer, position);
        if (!mReadAhead.hasRemaining()) {
            mReadAhead = null;
        }
        return count;
    }

    private void registerForRead() {
        synchronized (mLock) {
            if (mRegistered || (mPendingRead == null && mOnDisconnect == null)) {
                return;
            }
            mRegistered = true;
        }
        super.fillInterested(new ReadCallback());
    }

    private void readAhead() {
        boolean ended;
        boolean goOn;
        synchronized (mLock) {
            if (mOnDisconnect == null) {
                return;
            }
            if (mReadAhead == null) {
                mReadAhead = ByteBuffer.allocate(READ_AHEAD_BYTES).limit(0);
            }
            int count = fillReadAhead();
            ended = count < 0;
            mEndOfStream |= ended;
            goOn = !ended && mReadAhead.limit() < mReadAhead.capacity();
            if (!mReadAhead.hasRemaining()) {
                mReadAhead = null;
            }
        }
        if (ended) {
            notifyDisconnected();
        } else if (goOn) {
            registerForRead();
        }
    }

    private int fillReadAhead() {
        try {
            return super.fill(mReadAhead);
        } catch (IOException e) {
            // A reset is a hang-up, too; the connection meets it itself when it next reads.
            return -1;
        }
    }

    private void notifyDisconnected() {
        Runnable watcher;
        synchronized (mLock) {
            watcher = mOnDisconnect;
            mOnDisconnect = null;
        }
        if (watcher != null) {
            watcher.run();
        }
    }

    /** Hears from the selector, for the connection if it waits to read, else for the watcher. */
    private final class ReadCallback implements Callback {
        @Override
        public void succeeded() {
            Callback reader = takePendingRead();
            if (reader != null) {
                reader.succeeded();
            } else {
                readAhead();
            }
        }

        @Override
        public void failed(Throwable failure) {
            Callback reader = takePendingRead();
            if (reader != null) {
                reader.failed(failure);
            } else if (failure instanceof TimeoutException) {
                // The idle timeout measures bytes; a caller that waits for its answer sends none.
                registerForRead();
            } else {
                notifyDisconnected();
            }
        }

        @Override
        public InvocationType getInvocationType() {
            synchronized (mLock) {
                return mPendingRead == null
                        ? InvocationType.NON_BLOCKING
                        : mPendingRead.getInvocationType();
            }
        }

        private Callback takePendingRead() {
            synchronized (mLock) {
                mRegistered = false;
                Callback reader = mPendingRead;
                mPendingRead = null;
                return reader;
            }
        }
    }

    /** Returns what a watcher hands on as the cause of a cancelled request. */
    public static EofException newDisconnectException() {
        return new EofException("the caller hung up");
    }
}
