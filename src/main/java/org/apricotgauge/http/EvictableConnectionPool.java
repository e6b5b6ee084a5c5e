package org.apricotgauge.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * A pool whose unused connections can be thrown away at once.
 *
 * <p>When something between the two ends has lost track of one connection, it has usually lost
 * track of all that were open then. Trying one after the other would cost a request the silence
 * bound for each.
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
            // A pool that is closed while a connection is being opened removes a place without one.
            mConnections.remove(connection);
        }
        super.onRemoved(connection);
    }

    /**
     * Closes the connections that carry no exchange now.
     *
     * <p>A connection that is taken into use in this very moment breaks under its exchange, which
     * then ends as any broken exchange does.
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
