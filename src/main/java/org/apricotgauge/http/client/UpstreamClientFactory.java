package org.apricotgauge.http.client;

import java.time.Duration;
import java.util.concurrent.Executor;
import org.apricotgauge.http.NoOpSslContextFactory;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Creates clients that share one selector, its threads and its timers.
 *
 * <pre>{@code
 * UpstreamClientFactory clients = new UpstreamClientFactory(executor, scheduler, 400);
 * clients.start();
 * UpstreamClient client = clients.create(limits);
 * clients.stop();
 * }</pre>
 */
public final class UpstreamClientFactory {
    private static final int SELECTORS = 1;

    private final ClientConnector mConnector = new ResetDetectingConnector();
    private final Scheduler mScheduler;

    /**
     * Limits of one client.
     *
     * @param idleTimeoutMillis how long a connection on which nothing moves is kept, in
     *     milliseconds
     * @param connectionsPerAddress maximum number of connections to one address
     * @param queuedPerAddress maximum number of requests waiting for a connection to one address
     */
    public record Limits(long idleTimeoutMillis, int connectionsPerAddress, int queuedPerAddress) {

        /** Validates the components. */
        public Limits {
            Checks.inRange("idleTimeoutMillis", idleTimeoutMillis, 1, Integer.MAX_VALUE);
            Checks.inRange("connectionsPerAddress", connectionsPerAddress, 1, 65_535);
            Checks.inRange("queuedPerAddress", queuedPerAddress, 1, Integer.MAX_VALUE);
        }
    }

    /**
     * Creates a factory.
     *
     * @param executor runs the selector
     * @param scheduler runs timeouts
     * @param connectTimeoutMillis maximum wait for a connection, in milliseconds
     */
    public UpstreamClientFactory(
            Executor executor, Scheduler scheduler, long connectTimeoutMillis) {
        mScheduler = Checks.notNull("scheduler", scheduler);
        mConnector.setExecutor(Checks.notNull("executor", executor));
        mConnector.setScheduler(scheduler);
        mConnector.setSelectors(SELECTORS);
        mConnector.setSslContextFactory(new NoOpSslContextFactory());
        mConnector.setConnectTimeout(
                Duration.ofMillis(
                        Checks.inRange(
                                "connectTimeoutMillis",
                                connectTimeoutMillis,
                                1,
                                Integer.MAX_VALUE)));
    }

    /** Starts the selector. */
    public void start() throws Exception {
        mConnector.start();
    }

    /** Closes all connections of all clients. */
    public void stop() throws Exception {
        mConnector.stop();
    }

    /** Returns a new client; it can be used once the factory has been started. */
    public UpstreamClient create(Limits limits) {
        return new UpstreamClient(mConnector, mScheduler, Checks.notNull("limits", limits));
    }
}
