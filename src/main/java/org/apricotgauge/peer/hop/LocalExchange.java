package org.apricotgauge.peer.hop;

import java.io.IOException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.target.HopReply;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;

/**
 * One attempt on its way through the process: the entry aborts it, the guard replies to it.
 *
 * <p>Thread-safe; no lock is held while the guard or the entry is called, but for the entry's
 * decision to begin.
 */
final class LocalExchange implements HopReply, Abortable {
    private static final Logger LOGGER = Logger.getLogger(LocalExchange.class);

    private final UpstreamExchange.Listener mListener;
    private final Executor mExecutor;
    private final HeldBytes mHeldBytes;
    private final HttpFields.Mutable mHeaders = HttpFields.build();
    private final AtomicReference<Runnable> mOnEnded = new AtomicReference<>();
    private boolean mReplied;
    private boolean mAborted;
    private Runnable mOnDisconnected;
    private ReadAheadBody mBody;

    LocalExchange(UpstreamExchange.Listener listener, Executor executor, HeldBytes heldBytes) {
        mListener = listener;
        mExecutor = executor;
        mHeldBytes = heldBytes;
    }

    /** Asks the entry whether to begin; if not, the attempt fails as not sent. */
    boolean tryBegin() {
        if (mListener.onBegin()) {
            return true;
        }
        mListener.onFailure(
                new UpstreamExchange.Failure(
                        new CancellationException("attempt cancelled before it was submitted"),
                        UpstreamExchange.Progress.NOT_SENT));
        return false;
    }

    /** Ends the attempt, which may have started, because the guard failed to handle it. */
    void failSubmission(Throwable cause) {
        end(new Outcome.Unknown(UnknownReason.STARTED));
        execute(() -> abort(cause));
    }

    private synchronized boolean tryReply() {
        if (mReplied || mAborted) {
            return false;
        }
        mReplied = true;
        return true;
    }

    @Override
    public void abort(Throwable cause) {
        Runnable onDisconnected;
        ReadAheadBody body;
        synchronized (this) {
            mAborted = true;
            onDisconnected = mOnDisconnected;
            mOnDisconnected = null;
            body = mBody;
        }
        if (onDisconnected != null) {
            onDisconnected.run();
        }
        if (body != null) {
            body.fail(cause);
        }
    }

    @Override
    public boolean isRemote() {
        return false;
    }

    @Override
    public HttpFields.Mutable headers() {
        return mHeaders;
    }

    @Override
    public CompletableFuture<Void> acknowledge(HttpFields fields) {
        boolean waits;
        synchronized (this) {
            waits = !mReplied && !mAborted;
        }
        try {
            if (waits) {
                mListener.onAcknowledged(fields);
            }
        } catch (RuntimeException | Error e) {
            LOGGER.errorf(e, "entry failed to handle an acknowledgement");
        }
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void watch(Runnable onDisconnected) {
        synchronized (this) {
            if (!mAborted) {
                mOnDisconnected = onDisconnected;
                return;
            }
        }
        onDisconnected.run();
    }

    @Override
    public synchronized void unwatch() {
        mOnDisconnected = null;
    }

    @Override
    public void whenEnded(Runnable action) {
        mOnEnded.set(action);
    }

    @Override
    public void end(Outcome outcome) {
        if (tryReply()) {
            int status = OutcomeCodec.addHeaders(outcome, mHeaders);
            UpstreamResponse response = new UpstreamResponse(status, mHeaders);
            execute(() -> mListener.onAnswer(response, new EmptyBody()));
        }
        runOnEnded();
    }

    private void runOnEnded() {
        Runnable onEnded = mOnEnded.getAndSet(null);
        if (onEnded != null) {
            onEnded.run();
        }
    }

    // The entry's next attempt may come to this guard as well, and be refused again.
    private void execute(Runnable delivery) {
        try {
            mExecutor.execute(delivery);
        } catch (RejectedExecutionException e) {
            LOGGER.debugf("delivered on the guard's thread: %s", e);
            delivery.run();
        }
    }

    @Override
    public void answer(UpstreamResponse answer, Content.Source body, Callback whenCopied) {
        ReadAheadBody readAhead = new ReadAheadBody(body, whenCopied, mHeldBytes);
        boolean replies;
        synchronized (this) {
            replies = tryReply();
            if (replies) {
                mBody = readAhead;
            }
        }
        if (!replies) {
            readAhead.fail(new IOException("entry gave up the attempt"));
            return;
        }
        try {
            mListener.onAnswer(answer.withHeaders(mHeaders), readAhead);
        } catch (RuntimeException | Error e) {
            LOGGER.errorf(e, "entry failed to handle an answer");
            readAhead.fail(e);
        }
        readAhead.start();
    }

    @Override
    public void complete() {
        runOnEnded();
    }

    @Override
    public void fail(Throwable cause) {
        runOnEnded();
    }

    /** The body of an outcome, which its headers state in full. */
    private static final class EmptyBody implements Content.Source {
        @Override
        public Content.Chunk read() {
            return Content.Chunk.EOF;
        }

        @Override
        public void demand(Runnable onAvailable) {
            onAvailable.run();
        }

        @Override
        public void fail(Throwable failure) {}
    }
}
