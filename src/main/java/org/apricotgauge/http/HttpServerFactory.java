package org.apricotgauge.http;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/**
 * Creates HTTP servers that add nothing of their own to a response.
 *
 * <pre>{@code
 * Server server = new HttpServerFactory(threads, scheduler).create("127.0.0.1", 8080, handler);
 * server.start();
 * }</pre>
 *
 * <p>Jetty's parser rejects what RFC 9112 forbids and request smuggling relies on: two lengths, a
 * length beside a transfer coding, folded headers.
 */
public final class HttpServerFactory {
    /** Maximum size of a request's head, in bytes; a larger one is answered with 431. */
    public static final int MAX_HEADER_BYTES = 16_384;

    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int HEADER_CACHE_BYTES = 0;
    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 1;
    private static final int ACCEPT_QUEUE = 1_024;

    private final ThreadPool mThreads;
    private final Scheduler mScheduler;

    /** Creates a factory whose servers share the threads and the scheduler. */
    public HttpServerFactory(ThreadPool threads, Scheduler scheduler) {
        mThreads = Checks.notNull("threads", threads);
        mScheduler = Checks.notNull("scheduler", scheduler);
    }

    /**
     * Returns a server, not yet started.
     *
     * @param host IP address to listen at
     * @param port port to listen at, or 0 for any free one
     * @param handler handles the requests
     * @param onBadRequest called for each request that is rejected as malformed
     */
    public Server create(String host, int port, Handler handler, Runnable onBadRequest) {
        Server server = new Server(mThreads, mScheduler, null);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendXPoweredBy(false);
        configuration.setSendDateHeader(false);
        // Jetty's header cache takes 95 KB per connection, which at 4,000 connections of callers is
        // more than the node's memory limit.
        configuration.setHeaderCacheSize(HEADER_CACHE_BYTES);
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setResponseHeaderSize(MAX_HEADER_BYTES);
        ServerConnector connector =
                new DisconnectDetectingConnector(server, new HttpConnectionFactory(configuration));
        connector.setHost(host);
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        server.addConnector(connector);
        server.setErrorHandler(new PlainTextErrorHandler(onBadRequest, OutcomeCodec::writeStarted));
        server.setHandler(new HandledRequestCounter(handler));
        return server;
    }

    /** Tells each connection of the requests that its handler has been called for. */
    private static final class HandledRequestCounter extends Handler.Wrapper {
        private HandledRequestCounter(Handler handler) {
            super(handler);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            try {
                return super.handle(request, response, callback);
            } finally {
                if (endPoint instanceof DisconnectDetectingEndPoint caller) {
                    caller.countHandledRequest();
                }
            }
        }
    }

    /** A connector whose connections detect that their caller disconnects. */
    private static final class DisconnectDetectingConnector extends ServerConnector {
        private DisconnectDetectingConnector(Server server, HttpConnectionFactory http) {
            super(server, ACCEPTORS, SELECTORS, http);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                    new DisconnectDetectingEndPoint(
                            channel, selector, key, getScheduler(), getExecutor());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }
    }

    /** Returns the port that a started server listens at. */
    public static int portOf(Server server) {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }
}
