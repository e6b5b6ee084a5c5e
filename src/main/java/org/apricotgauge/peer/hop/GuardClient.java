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
 * Sends requests to the guards of other VMs on behalf of an entry.
 *
 * <pre>{@code
 * guards.clockEstimate(address, 500).thenAccept(estimate -> ...);
 * guards.fence(address, attempt, 500).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>Stores the last stamp of each guard. Each fence is sent over a separate connection that is
 * used once, because the connection that carried the attempt may be broken. Safe to share between
 * threads.
 */
public final class GuardClient {
    private static final int MAX_CONTROL_BYTES = 256;

    /** How long a guard that refused a connection is avoided, in milliseconds. */
    private static final long AVOIDANCE_AFTER_CONNECT_FAILURE_MILLIS = 500;

    /**
     * How long an unresponsive guard is avoided, in milliseconds; a partition seldom heals within a
     * second.
     */
    private static final long AVOIDANCE_AFTER_TIMEOUT_MILLIS = 1_500;

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
     * @param forwarding sends attempts over persistent connections
     * @param fencing sends control requests over new connections
     * @param ticker the entry's clock
     */
    public GuardClient(HttpClient forwarding, HttpClient fencing, Ticker ticker) {
        mForwardingClient = Checks.notNull("forwarding", forwarding);
        mFencingClient = Checks.notNull("fencing", fencing);
        mTicker = Checks.notNull("ticker", ticker);
    }

    /** Returns a new request to a guard, to be completed and sent as an exchange. */
    public Request newRequest(Address guard) {
        return mForwardingClient.newRequest(mUris.computeIfAbsent(guard, Hosts::uriOf));
    }

    /**
     * Records that no connection to the guard could be made.
     *
     * <p>While its process restarts, the targets beside it still serve; entries then send to them
     * directly rather than lose the capacity.
     */
    public void onConnectFailed(Address guard) {
        mUnavailableUntilMillis.put(
                guard, mTicker.millis() + AVOIDANCE_AFTER_CONNECT_FAILURE_MILLIS);
    }

    /** Returns whether the guard recently refused a connection or was unresponsive. */
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

    /** Records the stamp in a response of a guard, if it has one. */
    public void recordStamp(Address guard, HttpFields headers) {
        stampOf(headers).ifPresent(stamp -> mergeStamp(guard, stamp));
    }

    /** Returns the last clock estimate of a guard, requesting its stamp if there is none. */
    public CompletableFuture<GuardClockEstimate> clockEstimate(Address guard, long timeoutMillis) {
        GuardClockEstimate estimate = mClockEstimates.get(guard);
        if (estimate != null) {
            return CompletableFuture.completedFuture(estimate);
        }
        return sendControlRequest(guard, GuardHandler.CONTROL_STAMP, null, timeoutMillis)
                .thenApply(answer -> mClockEstimates.get(guard));
    }

    /**
     * Records that a connection to the guard became unresponsive, and closes the idle ones, which
     * may be broken as well.
     */
    public void onUnresponsive(Address guard) {
        HttpClientFactory.evictIdleConnections(mForwardingClient, guard);
        mUnavailableUntilMillis.put(guard, mTicker.millis() + AVOIDANCE_AFTER_TIMEOUT_MILLIS);
    }

    /** Requests, over a new connection, that the guard refuse the attempt if it arrives late. */
    public CompletableFuture<FenceAnswer> fence(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_FENCE, attempt, timeoutMillis)
                .thenApply(GuardClient::parseFenceAnswer);
    }

    /**
     * Fences the attempt as {@link #fence} does, and cancels it at its target if it has started.
     */
    public CompletableFuture<FenceAnswer> abandon(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_ABANDON, attempt, timeoutMillis)
                .thenApply(GuardClient::parseFenceAnswer);
    }

    private CompletableFuture<String> sendControlRequest(
            Address guard, String command, Attempt attempt, long timeoutMillis) {
        CompletableFuture<String> future = new CompletableFuture<>();
        // An idle connection may be as unresponsive as the one that carried the attempt. A fence
        // sent over it would get no answer, and a request that did not run would end as "unknown".
        HttpClientFactory.evictIdleConnections(mFencingClient, guard);
        mFencingClient
                .newRequest(guard.host(), guard.port())
                .path("/")
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .headers(
                        headers -> {
                            headers.put(HttpHeader.CONNECTION, "close");
                            headers.put(HeaderNames.CONTROL, command);
                            if (attempt != null) {
                                headers.put(Attempt.HEADER, attempt.toString());
                            }
                        })
                .send(new ControlResponseListener(guard, future));
        return future;
    }

    private static FenceAnswer parseFenceAnswer(String text) {
        String[] fields = text.strip().split(" ", 2);
        return new FenceAnswer(
                FenceAnswer.State.valueOf(fields[0]), Integer.parseInt(fields[1].strip()));
    }

    private static Optional<GuardStamp> stampOf(HttpFields headers) {
        return Optional.ofNullable(headers.get(GuardStamp.HEADER)).flatMap(GuardStamp::parse);
    }

    private void mergeStamp(Address guard, GuardStamp stamp) {
        GuardClockEstimate estimate = new GuardClockEstimate(stamp, mTicker.millis());
        mClockEstimates.merge(guard, estimate, GuardClockEstimate::merge);
    }

    /** Reads the short response to a control request. */
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
