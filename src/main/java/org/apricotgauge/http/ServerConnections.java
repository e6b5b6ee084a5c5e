package org.apricotgauge.http;

import java.util.List;
import java.util.function.BooleanSupplier;
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
        List<EndPoint> all = open();
        return new Counts(
                all.size(),
                count(all, ServerConnections::isInFlight),
                count(all, ServerConnections::hasUnread),
                count(all, ServerConnections::hasUnsent));
    }

    /**
     * Tells the peers of idle connections to open others, by ending this side of those that have
     * carried a request; the server goes on reading and accepting.
     */
    public void endIdle() {
        for (EndPoint endPoint : open()) {
            boolean isUsed = endPoint.getConnection().getMessagesIn() > 0;
            if (isUsed && endPoint.isFillInterested() && !isInFlight(endPoint)) {
                // Bytes that have come are a request, which is answered.
                if (!hasUnread(endPoint)) {
                    endPoint.shutdownOutput();
                }
            }
        }
    }

    /** Accepts no further connections; those that are open go on. */
    public void stopAccepting() {
        if (mConnector.isRunning()) {
            mConnector.shutdown();
        }
    }

    /**
     * Closes the connections on which nothing is left to do.
     *
     * @param isAtWork whether the server's handler is at work on any request; if it is not, a
     *     request without an answer that it has seen is one that waits for news
     * @return whether no connection is left
     */
    public boolean closeSettled(BooleanSupplier isAtWork) {
        boolean isAllClosed = true;
        for (EndPoint endPoint : open()) {
            if (isSettled(endPoint, isAtWork)) {
                endPoint.close();
            } else {
                isAllClosed = false;
            }
        }
        return isAllClosed;
    }

    private static boolean isSettled(EndPoint endPoint, BooleanSupplier isAtWork) {
        if (hasUnread(endPoint) || hasUnsent(endPoint)) {
            return false;
        }
        // A connection that does not wait to read, and handles no request, has just read one.
        return isBeingHandled(endPoint)
                ? hasBeenSeen(endPoint) && !isAtWork.getAsBoolean()
                : endPoint.isFillInterested();
    }

    /** Jetty counts a request when its head has been read, before its handler is called. */
    private static boolean hasBeenSeen(EndPoint endPoint) {
        return !(endPoint instanceof DisconnectDetectingEndPoint caller)
                || caller.handledRequests() >= endPoint.getConnection().getMessagesIn();
    }

    /** Closes all connections, whatever is left to do on them. */
    public void closeAll() {
        open().forEach(EndPoint::close);
    }

    /** Jetty forgets a connection some time after it was closed. */
    private List<EndPoint> open() {
        return mConnector.getConnectedEndPoints().stream().filter(EndPoint::isOpen).toList();
    }

    private static int count(List<EndPoint> all, Predicate<EndPoint> condition) {
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
