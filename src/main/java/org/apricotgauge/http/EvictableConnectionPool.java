package org.apricotgauge.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * A connection pool whose idle connections can all be closed at once.
 *
 * <p>When something between the two ends has lost the state of one connection, it has usually lost
 * that of all connections open at the time. Trying them one by one would cost a request the timeout
 * of an unresponsive guard for each.
 */
final class EvictableConnectionPool extends DuplexConnectionPool {
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    EvictableConnectionPool(Destination destination, int maxConnections) {
        super(destination, maxConnections);
    }

    @Override
    protected void onCreated(Connection connection) {
        mConnections.add(connection);
        super.onCreated(connection);
    }

    @Override
    protected void onRemoved(Connection connection) {
        if (connection != null) {
            // A pool closed while a connection is being opened removes an entry without one.
            mConnections.remove(connection);
        }
        super.onRemoved(connection);
    }

    /**
     * Closes the connections that carry no exchange at present.
     *
     * <p>A connection that is taken into use at the same moment fails its exchange, which then ends
     * like any failed exchange.
     */
    void evictIdle() {
        for (Connection connection : mConnections) {
            if (!isActive(connection)) {
                remove(connection);
                connection.close();
            }
        }
    }
}
