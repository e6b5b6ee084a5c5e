package org.apricotgauge.http.client;

import java.util.concurrent.CancellationException;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * One request to the next hop, which ends exactly once.
 *
 * <pre>{@code
 * UpstreamExchange exchange = client.send(request, listener);
 * exchange.abort(new TimeoutException("no acknowledgement"));
 * }</pre>
 *
 * <p>Either {@link Listener#onAnswer} or {@link Listener#onFailure} is called, once. A failure
 * after the head of the response has arrived is reported as a failure of the body's source.
 * Thread-safe.
 */
public final class UpstreamExchange implements Abortable {
    private final UpstreamRequest mRequest;
    private final ConnectionPool mPool;
    private final Listener mListener;
    private Phase mPhase = Phase.WAITING;
    private boolean mBegun;
    private UpstreamConnection mConnection;

    private enum Phase {
        WAITING,
        ANSWERED,
        FAILED
    }

    /** How far a failed request may have progressed. */
    public enum Progress {
        /** No byte was written: proof that the request was not run. */
        NOT_SENT,
        /** Some bytes may have been written; it is unknown whether the request ran. */
        MAYBE_SENT
    }

    /**
     * Why an exchange ended without the head of a response.
     *
     * @param cause failure reported by the HTTP client
     * @param progress how far the request may have progressed
     */
    public record Failure(Throwable cause, Progress progress) {}

    /** Receives the events of an exchange on the client's threads; must not block. */
    public interface Listener {

        /**
         * Called just before the first byte is written.
         *
         * @return false to write nothing; the exchange then fails as not sent
         */
        default boolean onBegin() {
            return true;
        }

        /** Called when an interim response shows that the next hop has received the request. */
        default void onAcknowledged(HttpFields fields) {}

        /**
         * Called with the head of the response; the body must be read to its end or failed.
         *
         * @param response status and headers
         * @param body the body, read with back pressure
         */
        void onAnswer(UpstreamResponse response, Content.Source body);

        /** Called when no head of a response will arrive. */
        void onFailure(Failure failure);
    }

    UpstreamExchange(ConnectionPool pool, UpstreamRequest request, Listener listener) {
        mPool = pool;
        mRequest = Checks.notNull("request", request);
        mListener = Checks.notNull("listener", listener);
    }

    UpstreamRequest request() {
        return mRequest;
    }

    synchronized boolean isWaiting() {
        return mPhase == Phase.WAITING;
    }

    synchronized boolean hasBegun() {
        return mBegun;
    }

    /**
     * Asks the listener whether to begin, just before the first byte is written.
     *
     * <p>The lock is held while the listener decides: an abort at the same moment then either finds
     * the request begun, or prevents its first byte.
     *
     * @return false if nothing may be written
     */
    boolean tryBegin(UpstreamConnection connection) {
        synchronized (this) {
            if (mPhase != Phase.WAITING) {
                return false;
            }
            if (mListener.onBegin()) {
                mConnection = connection;
                mBegun = true;
                return true;
            }
        }
        fail(new CancellationException("exchange cancelled before the first byte was sent"));
        return false;
    }

    /** Aborts the exchange; the listener is notified unless the response has begun. */
    @Override
    public void abort(Throwable cause) {
        UpstreamConnection connection;
        synchronized (this) {
            connection = mConnection;
        }
        fail(cause);
        if (connection != null) {
            connection.fail(this, cause);
        } else {
            mPool.removeWaiting(this);
        }
    }

    void onAcknowledged(HttpFields fields) {
        if (isWaiting()) {
            mListener.onAcknowledged(fields);
        }
    }

    void onAnswer(UpstreamResponse response, Content.Source body) {
        synchronized (this) {
            if (mPhase == Phase.WAITING) {
                mPhase = Phase.ANSWERED;
            }
            if (mPhase == Phase.FAILED) {
                return;
            }
        }
        mListener.onAnswer(response, body);
    }

    /** Ends the exchange without a response, unless it has one or has failed already. */
    void fail(Throwable cause) {
        Progress progress;
        synchronized (this) {
            if (mPhase != Phase.WAITING) {
                return;
            }
            mPhase = Phase.FAILED;
            progress = mBegun ? Progress.MAYBE_SENT : Progress.NOT_SENT;
        }
        mListener.onFailure(new Failure(cause, progress));
    }
}
