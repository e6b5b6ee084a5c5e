package org.apricotgauge.http;

import java.util.Collection;
import java.util.function.Predicate;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * The connections of a server and what is left to do on them.
 *
 * <pre>{@code
 * ServerConnections connections = new ServerConnections(server);
 * ServerConnections.Counts left = connections.count();
 * }</pre>
 */
public final class ServerConnections {
    private final ServerConnector mConnector;

    /**
     * How many connections are open, and on how many of them something is left.
     *
     * @param open open connections
     * @param inFlight connections with a request that has no whole answer
     * @param unread connections with bytes that were not read
     * @param unsent connections with bytes of an answer that the kernel has not taken
     */
    public record Counts(int open, int inFlight, int unread, int unsent) {}

    /** Creates the view of a server of {@link HttpServerFactory}. */
    public ServerConnections(Server server) {
        mConnector = (ServerConnector) Checks.notNull("server", server).getConnectors()[0];
    }

    /** Counts the connections; the counts are those of about the same moment. */
    public Counts count() {
        Collection<EndPoint> all = mConnector.getConnectedEndPoints();
        return new Counts(
                all.size(),
                count(all, ServerConnections::isInFlight),
                count(all, ServerConnections::hasUnread),
                count(all, ServerConnections::hasUnsent));
    }

    private static int count(Collection<EndPoint> all, Predicate<EndPoint> condition) {
        return (int) all.stream().filter(condition).count();
    }

    private static boolean isInFlight(EndPoint endPoint) {
        return isBeingHandled(endPoint) || hasUnsent(endPoint);
    }

    /** Jetty counts a response as sent from the moment at which its last bytes are written. */
    private static boolean isBeingHandled(EndPoint endPoint) {
        Connection connection = endPoint.getConnection();
        return connection != null && connection.getMessagesIn() > connection.getMessagesOut();
    }

    private static boolean hasUnread(EndPoint endPoint) {
        return endPoint instanceof DisconnectDetectingEndPoint caller && caller.hasUnreadInput();
    }

    private static boolean hasUnsent(EndPoint endPoint) {
        return endPoint instanceof DisconnectDetectingEndPoint caller && caller.hasUnsentOutput();
    }
}
