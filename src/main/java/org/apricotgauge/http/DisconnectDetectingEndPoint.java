package org.apricotgauge.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/**
 * A caller's connection that detects a disconnect while its request is being handled.
 *
 * <pre>{@code
 * DisconnectDetectingEndPoint.watch(request, this::onCallerDisconnected);
 * }</pre>
 *
 * <p>Jetty's HTTP/1.1 connection does not read while a request is handled, so that a caller that
 * disconnects occupies a slot of a target until the response has been written in vain. This end
 * point continues to read, into a buffer of {@link #READ_AHEAD_BYTES}: pipelined data is kept for
 * the connection, and the end of the stream is reported to the watcher. When the buffer is full it
 * stops reading; a disconnect behind that much pipelined data is detected when the response is
 * written.
 */
public final class DisconnectDetectingEndPoint extends SocketChannelEndPoint {
    /** Room for the heads of a few pipelined requests; kept only for callers that pipeline. */
    static final int READ_AHEAD_BYTES = 16_384;

    /** A caller that goes on sending doesn't keep its connection open. */
    private static final int MAX_DROPPED_BYTES = 1_048_576;

    private static final int DROP_BUFFER_BYTES = 1_024;

    private static final Logger LOGGER = Logger.getLogger(DisconnectDetectingEndPoint.class);

    private final Executor mExecutor;
    private final AtomicLong mHandledRequests = new AtomicLong();
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
     * Calls the watcher once if the caller of the request disconnects; a request on another kind of
     * connection is not watched. The watch ends with {@link #unwatch}.
     */
    public static void watch(Request request, Runnable watcher) {
        Checks.notNull("watcher", watcher);
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof DisconnectDetectingEndPoint endPoint) {
            endPoint.watch(watcher);
        }
    }

    /** Counts a request that its handler has been called for, after the call. */
    void countHandledRequest() {
        mHandledRequests.incrementAndGet();
    }

    /** Returns the number of requests that their handler has been called for. */
    long handledRequests() {
        return mHandledRequests.get();
    }

    /** Ends the watch of the request's connection; to be called before its response ends. */
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
            // Not called on this stack, because the connection calls this method while it reads.
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

    /** Returns whether the caller has sent bytes that the connection has not read. */
    boolean hasUnreadInput() {
        synchronized (mLock) {
            if (hasReadAhead()) {
                return true;
            }
        }
        try {
            return getChannel().socket().getInputStream().available() > 0;
        } catch (IOException e) {
            LOGGER.debugf("a connection that has ended has nothing to read: %s", e);
            return false;
        }
    }

    /** Returns whether bytes of an answer wait until the caller reads more. */
    boolean hasUnsentOutput() {
        return getWriteFlusher().isPending();
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
        boolean continueReading;
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
            continueReading = !ended && mReadAhead.limit() < mReadAhead.capacity();
            if (!mReadAhead.hasRemaining()) {
                mReadAhead = null;
            }
        }
        if (ended) {
            notifyDisconnected();
        } else if (continueReading) {
            registerForRead();
        }
    }

    private int fillReadAhead() {
        try {
            return super.fill(mReadAhead);
        } catch (IOException e) {
            // A reset is a disconnect, too; the connection itself detects it at its next read.
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

    /** Handles readiness to read: for the connection if it waits to read, else for the watcher. */
    private final class ReadCallback implements Callback {
        @Override
        public void succeeded() {
            Callback pendingRead = takePendingRead();
            if (pendingRead != null) {
                pendingRead.succeeded();
            } else {
                readAhead();
            }
        }

        @Override
        public void failed(Throwable failure) {
            Callback pendingRead = takePendingRead();
            if (pendingRead != null) {
                pendingRead.failed(failure);
            } else if (failure instanceof TimeoutException) {
                // The idle timeout measures bytes; a caller that waits for its response sends none.
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
                Callback pendingRead = mPendingRead;
                mPendingRead = null;
                return pendingRead;
            }
        }
    }

    // The kernel resets a connection that is closed with unread bytes, and drops what it has not
    // yet delivered of the last answer.
    @Override
    public void doClose() {
        dropInput();
        super.doClose();
    }

    private void dropInput() {
        ByteBuffer dropped = ByteBuffer.allocate(DROP_BUFFER_BYTES);
        int droppedBytes = 0;
        try {
            int read = getChannel().read(dropped);
            while (read > 0 && droppedBytes < MAX_DROPPED_BYTES) {
                droppedBytes += read;
                read = getChannel().read(dropped.clear());
            }
        } catch (IOException e) {
            LOGGER.debugf("connection ended while its input was dropped: %s", e);
        }
    }

    /** Returns the exception that a watcher passes on as the cause of a cancelled request. */
    public static EofException newDisconnectException() {
        return new EofException("caller disconnected");
    }
}
