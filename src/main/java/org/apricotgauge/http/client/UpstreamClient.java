package org.apricotgauge.http.client;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Sends requests over pooled connections, and does not modify the messages that it transfers.
 *
 * <pre>{@code
 * UpstreamExchange exchange = client.send(request, listener);
 * client.fetch(UpstreamRequest.get(address, "/", headers), 4_096, 700).thenAccept(this::read);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class UpstreamClient {
    private final ClientConnector mConnector;
    private final Scheduler mScheduler;
    private final UpstreamClientFactory.Limits mLimits;
    private final ConcurrentMap<Address, ConnectionPool> mPools = new ConcurrentHashMap<>();

    UpstreamClient(
            ClientConnector connector, Scheduler scheduler, UpstreamClientFactory.Limits limits) {
        mConnector = connector;
        mScheduler = scheduler;
        mLimits = limits;
    }

    /** Sends a request and returns the exchange, which can be aborted. */
    public UpstreamExchange send(UpstreamRequest request, UpstreamExchange.Listener listener) {
        ConnectionPool pool = poolOf(request.address());
        UpstreamExchange exchange = new UpstreamExchange(pool, request, listener);
        pool.send(exchange);
        return exchange;
    }

    private ConnectionPool poolOf(Address address) {
        ConnectionPool pool = mPools.get(address);
        return pool != null ? pool : mPools.computeIfAbsent(address, this::newPool);
    }

    private ConnectionPool newPool(Address address) {
        return new ConnectionPool(mConnector, address, mLimits);
    }

    /**
     * Sends a request and reads its response as a whole.
     *
     * @param maxBytes most bytes of a body; a longer one fails the fetch
     * @param timeoutMillis longest wait for the end of the response, in milliseconds
     */
    public CompletableFuture<FetchedResponse> fetch(
            UpstreamRequest request, int maxBytes, long timeoutMillis) {
        CompletableFuture<FetchedResponse> future = new CompletableFuture<>();
        UpstreamExchange exchange = send(request, new FetchListener(maxBytes, future));
        Scheduler.Task timeout =
                mScheduler.schedule(
                        () -> {
                            TimeoutException cause =
                                    new TimeoutException(
                                            "no response within " + timeoutMillis + " ms");
                            exchange.abort(cause);
                            future.completeExceptionally(cause);
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        future.whenComplete((response, failure) -> timeout.cancel());
        return future;
    }

    /** Opens a connection and closes it at once; fails if it can't be opened. */
    public CompletableFuture<Void> tryConnect(Address address) {
        CompletableFuture<Void> future = new CompletableFuture<>();
        newPool(address)
                .connect(
                        Promise.from(
                                connection -> {
                                    connection.closeIfIdle();
                                    future.complete(null);
                                },
                                future::completeExceptionally));
        return future;
    }

    /** Closes the idle connections to one address. */
    public void evictIdle(Address address) {
        ConnectionPool pool = mPools.get(address);
        if (pool != null) {
            pool.evictIdle();
        }
    }

    /** Fails the requests that wait for a connection, and closes the idle connections. */
    public void close() {
        mPools.values().forEach(ConnectionPool::close);
    }

    /** Returns the number of connections that carry no request. */
    public int idleConnections() {
        return mPools.values().stream().mapToInt(ConnectionPool::idle).sum();
    }

    /** Returns the number of requests that wait for a connection. */
    public int waitingRequests() {
        return mPools.values().stream().mapToInt(ConnectionPool::waiting).sum();
    }

    /** Reads a response as a whole. */
    private record FetchListener(int maxBytes, CompletableFuture<FetchedResponse> future)
            implements UpstreamExchange.Listener {

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            Bodies.readAll(body, maxBytes)
                    .whenComplete(
                            (bytes, failure) -> {
                                if (failure == null) {
                                    future.complete(
                                            new FetchedResponse(
                                                    response.status(), response.headers(), bytes));
                                } else {
                                    body.fail(failure);
                                    future.completeExceptionally(failure);
                                }
                            });
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            future.completeExceptionally(failure.cause());
        }
    }
}
