package org.apricotgauge.http;

import java.util.concurrent.Executor;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Creates HTTP clients that do not modify the messages that they transfer.
 *
 * <pre>{@code
 * HttpClient client = new HttpClientFactory(executor, scheduler).create("target", limits);
 * client.start();
 * }</pre>
 *
 * <p>The clients follow no redirects and add no cookies, authentication, decoding or user agent of
 * their own.
 */
public final class HttpClientFactory {
    private static final int SELECTORS = 1;

    private final Executor mExecutor;
    private final Scheduler mScheduler;

    /** Creates a factory whose clients share the executor and the scheduler. */
    public HttpClientFactory(Executor executor, Scheduler scheduler) {
        mExecutor = Checks.notNull("executor", executor);
        mScheduler = Checks.notNull("scheduler", scheduler);
    }

    /**
     * Limits of one client.
     *
     * @param connectTimeoutMillis maximum wait for a connection, in milliseconds
     * @param idleTimeoutMillis how long an unused connection is kept, in milliseconds
     * @param connectionsPerDestination maximum number of connections to one address
     * @param queuedPerDestination maximum number of requests waiting for a connection to one
     *     address
     */
    public record Limits(
            long connectTimeoutMillis,
            long idleTimeoutMillis,
            int connectionsPerDestination,
            int queuedPerDestination) {

        /** Validates the components. */
        public Limits {
            Checks.inRange("connectTimeoutMillis", connectTimeoutMillis, 1, Integer.MAX_VALUE);
            Checks.inRange("idleTimeoutMillis", idleTimeoutMillis, 1, Integer.MAX_VALUE);
            Checks.inRange("connectionsPerDestination", connectionsPerDestination, 1, 65_535);
            Checks.inRange("queuedPerDestination", queuedPerDestination, 1, Integer.MAX_VALUE);
        }
    }

    /** Returns a new client, not yet started. */
    public HttpClient create(String name, Limits limits) {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setSslContextFactory(new NoOpSslContextFactory());
        connector.setExecutor(mExecutor);
        connector.setScheduler(mScheduler);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        // Responses are handled on the thread that reads them: listeners never block (see
        // UpstreamExchange), and on one slow core each hand-over to another thread costs more than
        // the work that it hands over.
        transport.setInvocationType(InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setName(name);
        // Hosts are IP addresses, so that no thread is needed to resolve them.
        client.setSocketAddressResolver(new SocketAddressResolver.Sync());
        client.setExecutor(mExecutor);
        client.setScheduler(mScheduler);
        client.setConnectTimeout(limits.connectTimeoutMillis());
        client.setIdleTimeout(limits.idleTimeoutMillis());
        client.setMaxConnectionsPerDestination(limits.connectionsPerDestination());
        client.setMaxRequestsQueuedPerDestination(limits.queuedPerDestination());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        return client;
    }

    /**
     * Starts a client and removes the handlers that would modify the messages that it transfers.
     */
    public static void start(HttpClient client) throws Exception {
        client.start();
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new ProcessingProtocolHandler());
    }
}
