package org.apricotgauge.peer.hop;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.Hosts;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Talks to the guards of other VMs on behalf of an entry.
 *
 * <pre>{@code
 * guards.sighting(address, 500).thenAccept(sighting -> ...);
 * guards.fence(address, attempt, 500).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>Remembers the last stamp of each guard. Fences go over connections of their own, each used
 * once: the connection that carried the attempt may be the very thing that is broken. Safe to share
 * between threads.
 */
public final class GuardClient {
    private static final int MAX_CONTROL_BYTES = 256;

    /** How long a guard that refused a connection is left alone. */
    private static final long CONNECT_FAILURE_HOLD_MILLIS = 500;

    /** How long a guard that went silent is left alone; a cut seldom heals within a second. */
    private static final long UNRESPONSIVE_HOLD_MILLIS = 1_500;

    private final HttpClient mForwardingClient;
    private final HttpClient mFencingClient;
    private final Ticker mTicker;
    private final ConcurrentMap<Address, GuardClockEstimate> mClockEstimates =
            new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, URI> mUris = new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, Long> mUnavailableUntilMillis = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param forwarding carries attempts; its connections are kept
     * @param fencing carries control questions over fresh connections
     * @param ticker the entry's clock
     */
    public GuardClient(HttpClient forwarding, HttpClient fencing, Ticker ticker) {
        mForwardingClient = Checks.notNull("forwarding", forwarding);
        mFencingClient = Checks.notNull("fencing", fencing);
        mTicker = Checks.notNull("ticker", ticker);
    }

    /** Returns a request for a guard, to be filled and sent as an exchange. */
    public Request newRequest(Address guard) {
        return mForwardingClient.newRequest(mUris.computeIfAbsent(guard, Hosts::uriOf));
    }

    /**
     * Notes that no connection to the guard could be made.
     *
     * <p>While its process restarts the targets beside it still serve; entries then go straight to
     * them rather than lose the capacity.
     */
    public void onConnectFailed(Address guard) {
        mUnavailableUntilMillis.put(guard, mTicker.millis() + CONNECT_FAILURE_HOLD_MILLIS);
    }

    /** Returns whether a connection to the guard failed just now. */
    public boolean isUnavailable(Address guard) {
        Long untilMillis = mUnavailableUntilMillis.get(guard);
        if (untilMillis == null) {
            return false;
        }
        if (mTicker.millis() < untilMillis) {
            return true;
        }
        mUnavailableUntilMillis.remove(guard, untilMillis);
        return false;
    }

    /** Takes the stamp that came with an answer of a guard. */
    public void recordStamp(Address guard, HttpFields headers) {
        stampOf(headers).ifPresent(stamp -> mergeStamp(guard, stamp));
    }

    /** Returns the last sighting of a guard, asking it if there is none. */
    public CompletableFuture<GuardClockEstimate> clockEstimate(Address guard, long timeoutMillis) {
        GuardClockEstimate known = mClockEstimates.get(guard);
        if (known != null) {
            return CompletableFuture.completedFuture(known);
        }
        return sendControlRequest(guard, GuardHandler.CONTROL_STAMP, null, timeoutMillis)
                .thenApply(answer -> mClockEstimates.get(guard));
    }

    /** Notes that a connection to the guard went silent; the unused ones are not trusted either. */
    public void onUnresponsive(Address guard) {
        HttpClientFactory.evictIdleConnections(mForwardingClient, guard);
        mUnavailableUntilMillis.put(guard, mTicker.millis() + UNRESPONSIVE_HOLD_MILLIS);
    }

    /** Asks the guard, over a new connection, to refuse the attempt should it arrive late. */
    public CompletableFuture<FenceAnswer> fence(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_FENCE, attempt, timeoutMillis)
                .thenApply(GuardClient::parseFenceAnswer);
    }

    /** As {@link #fence}, and cancels the attempt at its target if it has started. */
    public CompletableFuture<FenceAnswer> abandon(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_ABANDON, attempt, timeoutMillis)
                .thenApply(GuardClient::parseFenceAnswer);
    }

    private CompletableFuture<String> sendControlRequest(
            Address guard, String question, Attempt attempt, long timeoutMillis) {
        CompletableFuture<String> future = new CompletableFuture<>();
        // A spare connection from before may be as silent as the one that is asked about; a fence
        // sent over it would go unanswered, and a booking that did not run be told "unknown".
        HttpClientFactory.evictIdleConnections(mFencingClient, guard);
        mFencingClient
                .newRequest(guard.host(), guard.port())
                .path("/")
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .headers(
                        headers -> {
                            headers.put(HttpHeader.CONNECTION, "close");
                            headers.put(HeaderNames.CONTROL, question);
                            if (attempt != null) {
                                headers.put(Attempt.HEADER, attempt.toString());
                            }
                        })
                .send(new ControlResponseListener(guard, future));
        return future;
    }

    private static FenceAnswer parseFenceAnswer(String text) {
        String[] words = text.strip().split(" ", 2);
        return new FenceAnswer(
                FenceAnswer.State.valueOf(words[0]), Integer.parseInt(words[1].strip()));
    }

    private static Optional<GuardStamp> stampOf(HttpFields headers) {
        return Optional.ofNullable(headers.get(GuardStamp.HEADER)).flatMap(GuardStamp::parse);
    }

    private void mergeStamp(Address guard, GuardStamp stamp) {
        GuardClockEstimate seen = new GuardClockEstimate(stamp, mTicker.millis());
        mClockEstimates.merge(guard, seen, GuardClockEstimate::merge);
    }

    /** Reads a short answer to a control question. */
    private final class ControlResponseListener extends BufferingResponseListener {
        private final Address mGuard;
        private final CompletableFuture<String> mFuture;

        private ControlResponseListener(Address guard, CompletableFuture<String> future) {
            super(MAX_CONTROL_BYTES);
            mGuard = guard;
            mFuture = future;
        }

        @Override
        public void onHeaders(Response response) {
            recordStamp(mGuard, response.getHeaders());
            super.onHeaders(response);
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                mFuture.completeExceptionally(result.getFailure());
            } else if (result.getResponse().getStatus() != HttpStatus.OK_200) {
                mFuture.completeExceptionally(
                        new IOException("guard " + mGuard + " answered " + result.getResponse()));
            } else {
                mFuture.complete(getContentAsString());
            }
        }
    }
}
