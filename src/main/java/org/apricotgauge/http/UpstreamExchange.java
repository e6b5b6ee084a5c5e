package org.apricotgauge.http;

import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * One request to the next hop, which ends exactly once.
 *
 * <pre>{@code
 * UpstreamExchange exchange = UpstreamExchange.send(client.newRequest(host, port), listener);
 * exchange.abort(new TimeoutException("no acknowledgement"));
 * }</pre>
 *
 * <p>Either {@link Listener#onAnswer} or {@link Listener#onFailure} is called, once. A failure
 * after the head of the response has arrived is reported as a failure of the body's source.
 */
public final class UpstreamExchange {
    static final String ATTRIBUTE = UpstreamExchange.class.getName();

    private final Request mRequest;
    private final Listener mListener;
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.WAITING);
    private volatile boolean mRequestBegun;

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
        void onAnswer(Response response, Content.Source body);

        /** Called when no head of a response will arrive. */
        void onFailure(Failure failure);
    }

    private UpstreamExchange(Request request, Listener listener) {
        mRequest = Checks.notNull("request", request);
        mListener = Checks.notNull("listener", listener);
    }

    /** Sends the request and returns the exchange, which can be aborted. */
    public static UpstreamExchange send(Request request, Listener listener) {
        UpstreamExchange exchange = new UpstreamExchange(request, listener);
        request.attribute(ATTRIBUTE, exchange);
        request.onRequestBegin(exchange::onRequestBegin);
        request.onResponseContentSource(exchange::onResponse);
        request.send(exchange::onComplete);
        return exchange;
    }

    /** Aborts the exchange; the listener is notified unless the response has begun. */
    public void abort(Throwable cause) {
        mRequest.abort(cause);
    }

    private void onRequestBegin(Request request) {
        if (mListener.onBegin()) {
            mRequestBegun = true;
        } else {
            request.abort(
                    new CancellationException("exchange cancelled before the first byte was sent"));
        }
    }

    void onAcknowledged(HttpFields fields) {
        if (mPhase.get() == Phase.WAITING) {
            mListener.onAcknowledged(fields);
        }
    }

    private void onResponse(Response response, Content.Source body) {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ANSWERED)) {
            mListener.onAnswer(response, body);
        } else {
            body.fail(new IllegalStateException("response arrived after the exchange ended"));
        }
    }

    private void onComplete(Result result) {
        if (result.isSucceeded() || !mPhase.compareAndSet(Phase.WAITING, Phase.FAILED)) {
            return;
        }
        mListener.onFailure(
                new Failure(
                        result.getFailure(),
                        mRequestBegun ? Progress.MAYBE_SENT : Progress.NOT_SENT));
    }
}
