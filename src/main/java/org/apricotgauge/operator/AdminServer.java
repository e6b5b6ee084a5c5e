package org.apricotgauge.operator;

import java.io.IOException;
import java.util.Set;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.PlainTextErrorHandler;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jboss.logging.Logger;

/**
 * The administration API of a node, over HTTP, on a port of its own.
 *
 * <pre>{@code
 * AdminServer server = new AdminServer(sources, "127.0.0.1", 0, Ticker.system());
 * server.start();
 * int port = server.port();
 * server.stop();
 * }</pre>
 *
 * <p>Paths, all also under {@code /v1}: {@code /live}, {@code /ready}, {@code /status}, {@code
 * /events?since=N&limit=M}, {@code /quarantine}, {@code /metrics}, {@code /metrics.json}; by POST,
 * {@code /quarantine/lift?fingerprint=F}. A bad query gets 400 with a reason in one line, an
 * unknown path 404, another method 405. Threads, connections, requests in a second and the size of
 * an answer are bounded, so that an operator's script costs the callers nothing.
 */
public final class AdminServer {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 3;
    private static final int MAX_CONNECTIONS = 64;
    private static final int IDLE_MILLIS = 30_000;
    private static final int MAX_HEADER_BYTES = 4_096;
    private static final int SHUTDOWN_IDLE_MILLIS = 50;
    private static final int STOP_MILLIS = 1_000;

    private final Server mServer;
    private final ServerConnector mConnector;

    /** Creates a server that is not started yet; port 0 stands for any free one. */
    public AdminServer(AdminSources sources, String host, int port, Ticker ticker) {
        this(sources, host, port, Set.of(), ticker);
    }

    /** As above; {@code readyPaths} tell readiness, too. */
    public AdminServer(
            AdminSources sources, String host, int port, Set<String> readyPaths, Ticker ticker) {
        Checks.notNull("sources", sources);
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("admin");
        threads.setReservedThreads(0);
        mServer = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        mConnector = new ServerConnector(mServer, 1, 1, new HttpConnectionFactory(http));
        mConnector.setHost(Checks.notBlank("host", host));
        mConnector.setPort(port);
        mConnector.setIdleTimeout(IDLE_MILLIS);
        mConnector.setShutdownIdleTimeout(SHUTDOWN_IDLE_MILLIS);
        mServer.addConnector(mConnector);
        mServer.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, mServer));
        mServer.setStopTimeout(STOP_MILLIS);
        mServer.setErrorHandler(new PlainTextErrorHandler(() -> {}, AdminServer::writeError));
        mServer.setHandler(new AdminHandler(sources, readyPaths, Checks.notNull("ticker", ticker)));
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the port can't be had
     */
    public void start() throws IOException {
        try {
            mServer.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("administration API: " + e.getMessage(), e);
        }
    }

    private static void writeError(Response response, Callback callback) {
        Bodies.writeText(
                response, callback, response.getStatus(), "the request failed in the server\n");
    }

    /** Returns the port that the server listens at, once started. */
    public int port() {
        return mConnector.getLocalPort();
    }

    /** Stops; answers under way have a second to end. */
    public void stop() {
        try {
            mServer.stop();
        } catch (Exception e) {
            // The process is about to end; there is nothing left to do for this server.
            Logger.getLogger(AdminServer.class).warn("did not stop cleanly", e);
        }
    }
}
