package org.apricotgauge.http.client;

import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * A connection to an upstream, which carries one exchange at a time.
 *
 * <p>It is used again only if the exchange ended cleanly: the request was written in full, the
 * response allows it, and nothing followed the response. Bytes that arrive between two exchanges
 * belong to no request, and close the connection.
 */
final class UpstreamConnection extends AbstractConnection {
    private final ConnectionPool mPool;
    private final ResponseReader mReader;
    private final Callback mReadCallback = new ReadCallback();
    private UpstreamExchange mExchange;
    private RequestWriter mWriter;
    private boolean mLastPartSent;
    private boolean mRequestWritten;
    private boolean mResponseRead;
    private Throwable mCloseCause;

    UpstreamConnection(EndPoint endPoint, Executor executor, ConnectionPool pool) {
        super(endPoint, executor);
        mPool = pool;
        mReader = new ResponseReader(this, endPoint);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().setIdleTimeout(mPool.idleTimeoutMillis());
        awaitReadable();
    }

    /** What became of a request that was to be sent. */
    enum SendResult {
        /** The connection carries the exchange. */
        SENT,
        /** The exchange ended before its first byte; the connection is unused. */
        CANCELLED,
        /** The connection is closed; the exchange needs another one. */
        CLOSED
    }

    /** Sends the request of an exchange. */
    SendResult send(UpstreamExchange exchange) {
        synchronized (this) {
            if (mCloseCause != null) {
                return SendResult.CLOSED;
            }
            mExchange = exchange;
            mLastPartSent = false;
            mRequestWritten = false;
            mResponseRead = false;
            mReader.start(exchange);
        }
        if (!exchange.tryBegin(this)) {
            synchronized (this) {
                mExchange = null;
            }
            return SendResult.CANCELLED;
        }
        RequestWriter writer = new RequestWriter(this, exchange.request());
        synchronized (this) {
            mWriter = writer;
        }
        writer.iterate();
        return SendResult.SENT;
    }

    /** Calls {@link #onFillable} once there is something to read. */
    void awaitReadable() {
        getEndPoint().tryFillInterested(mReadCallback);
    }

    @Override
    public void onFillable() {
        UpstreamExchange exchange;
        synchronized (this) {
            exchange = mExchange;
        }
        if (exchange == null) {
            closeUnlessSpurious();
        } else if (exchange.hasBegun()) {
            mReader.onReadable();
        } else {
            fail(exchange, new EOFException("bytes or an end before the request was written"));
        }
    }

    private void closeUnlessSpurious() {
        if (!hasEnded()) {
            awaitReadable();
        }
    }

    /**
     * Checks an idle connection for its end, and closes it if it has ended.
     *
     * <p>On a busy machine, a connection may have ended long before the selector reports it. A
     * request that is written to it may have run as far as its sender knows.
     */
    boolean hasEnded() {
        Throwable cause;
        synchronized (this) {
            if (mExchange != null) {
                return false;
            }
            cause = probeEnd();
        }
        if (cause != null) {
            fail(null, cause);
        }
        return cause != null;
    }

    private Throwable probeEnd() {
        try {
            return getEndPoint().fill(BufferUtil.allocate(1)) == 0
                    ? null
                    : new EOFException("upstream closed the idle connection or sent bytes on it");
        } catch (IOException e) {
            return e;
        }
    }

    private void failCurrent(Throwable cause) {
        UpstreamExchange exchange;
        synchronized (this) {
            exchange = mExchange;
        }
        fail(exchange, cause);
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        failCurrent(cause);
    }

    /** Called when the last bytes of the request are about to be written. */
    synchronized void onLastPartSent() {
        mLastPartSent = true;
    }

    /** Called when the request has been written in full. */
    void onRequestWritten() {
        synchronized (this) {
            mRequestWritten = true;
        }
        mReader.onRequestWritten();
        releaseIfDone();
    }

    /** Returns whether the last bytes of the request were written, or are about to be. */
    synchronized boolean isLastPartSent() {
        return mLastPartSent;
    }

    /** Returns whether the request has been written in full. */
    synchronized boolean isRequestWritten() {
        return mRequestWritten;
    }

    /** Called when the request could not be written in full. */
    void onWriteFailed(Throwable cause) {
        failCurrent(cause);
    }

    /** Called when the response has been read to its end. */
    void onResponseRead(boolean reusable) {
        boolean waitsForRequest;
        UpstreamExchange exchange;
        synchronized (this) {
            exchange = mExchange;
            // An upstream that answered before it read the whole body still expects the rest.
            waitsForRequest = reusable && mLastPartSent;
            mResponseRead = true;
        }
        if (waitsForRequest) {
            releaseIfDone();
        } else {
            fail(exchange, new EOFException("connection is not used again after this response"));
        }
    }

    private void releaseIfDone() {
        synchronized (this) {
            if (!mRequestWritten || !mResponseRead || mExchange == null || mCloseCause != null) {
                return;
            }
            mExchange = null;
            mWriter = null;
        }
        awaitReadable();
        mPool.release(this);
    }

    /** Closes the connection if it still carries the exchange, which may be null, and fails it. */
    void fail(UpstreamExchange exchange, Throwable cause) {
        RequestWriter writer;
        synchronized (this) {
            if (mCloseCause != null || mExchange != exchange) {
                return;
            }
            mCloseCause = cause;
            writer = mWriter;
        }
        getEndPoint().close(cause);
        mPool.remove(this);
        if (writer != null) {
            writer.abort(cause);
        }
        if (exchange != null) {
            exchange.fail(cause);
        }
        mReader.onClosed();
    }

    /** Returns why the connection was closed; null while it is open. */
    synchronized Throwable closeCause() {
        return mCloseCause;
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        failCurrent(cause == null ? new EOFException("connection closed") : cause);
    }

    /** Closes the connection if it carries no exchange. */
    void closeIfIdle() {
        fail(null, new EOFException("idle connection evicted"));
    }

    /** Responses are handled on the thread that reads them: listeners do not block. */
    private final class ReadCallback implements Callback {
        @Override
        public void succeeded() {
            onFillable();
        }

        @Override
        public void failed(Throwable cause) {
            onFillInterestedFailed(cause);
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
