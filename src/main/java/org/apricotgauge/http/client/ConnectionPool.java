package org.apricotgauge.http.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import org.apricotgauge.http.client.UpstreamConnection.SendResult;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;

/**
 * The connections to one address, and the exchanges that wait for one.
 *
 * <p>The connection that was used last is used first, so that those a burst has left over become
 * idle and end. Thread-safe.
 */
final class ConnectionPool {
    private final ClientConnector mConnector;
    private final InetSocketAddress mAddress;
    private final UpstreamClientFactory.Limits mLimits;
    private final Deque<UpstreamConnection> mIdle = new ArrayDeque<>();
    private final Set<UpstreamConnection> mOpen = new HashSet<>();
    private final Set<UpstreamExchange> mWaiting = new LinkedHashSet<>();
    private int mConnecting;
    private boolean mClosed;

    ConnectionPool(
            ClientConnector connector, Address address, UpstreamClientFactory.Limits limits) {
        mConnector = connector;
        // The host is an IP address, so that nothing has to be resolved.
        mAddress = new InetSocketAddress(address.host(), address.port());
        mLimits = limits;
    }

    long idleTimeoutMillis() {
        return mLimits.idleTimeoutMillis();
    }

    /** Sends the exchange over an idle connection or a new one, or lets it wait for one. */
    void send(UpstreamExchange exchange) {
        UpstreamConnection idle = pollIdleOrWait(exchange);
        while (idle != null) {
            SendResult result = idle.hasEnded() ? SendResult.CLOSED : idle.send(exchange);
            if (result == SendResult.CANCELLED) {
                release(idle);
            }
            if (result != SendResult.CLOSED) {
                return;
            }
            idle = pollIdleOrWait(exchange);
        }
    }

    /** Returns an idle connection; if there is none, lets the exchange wait and returns null. */
    private UpstreamConnection pollIdleOrWait(UpstreamExchange exchange) {
        boolean rejected;
        boolean connect = false;
        synchronized (this) {
            UpstreamConnection idle = mIdle.pollFirst();
            if (idle != null) {
                return idle;
            }
            rejected = mClosed || mWaiting.size() >= mLimits.queuedPerAddress();
            if (!rejected) {
                mWaiting.add(exchange);
                connect = reserveConnect();
            }
        }
        if (rejected) {
            exchange.fail(new RejectedExecutionException("too many requests wait"));
        } else if (connect) {
            connect();
        }
        return null;
    }

    // Each waiting exchange has a connection on its way, unless all that are allowed are open.
    private synchronized boolean reserveConnect() {
        boolean needed =
                !mClosed
                        && mConnecting < mWaiting.size()
                        && mOpen.size() + mConnecting < mLimits.connectionsPerAddress();
        if (needed) {
            mConnecting++;
        }
        return needed;
    }

    private void connect() {
        connect(Promise.from(this::onConnected, this::onConnectFailed));
    }

    /** Opens a connection that belongs to the pool only once it has been released to it. */
    void connect(Promise<UpstreamConnection> promise) {
        Map<String, Object> context = new HashMap<>();
        ClientConnectionFactory connections =
                (endPoint, ignored) ->
                        new UpstreamConnection(endPoint, mConnector.getExecutor(), this);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(ClientConnectionFactory.CONTEXT_KEY, connections);
        context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, promise);
        mConnector.connect(mAddress, context);
    }

    private void onConnected(UpstreamConnection connection) {
        boolean closed;
        synchronized (this) {
            mConnecting--;
            closed = mClosed;
            // One that ended while it was being opened has a cause already.
            if (!closed && connection.closeCause() == null) {
                mOpen.add(connection);
            }
        }
        if (closed) {
            connection.closeIfIdle();
        } else {
            release(connection);
        }
    }

    private void onConnectFailed(Throwable cause) {
        List<UpstreamExchange> failed = new ArrayList<>();
        synchronized (this) {
            mConnecting--;
            boolean othersServe = mConnecting + mOpen.size() > 0;
            do {
                UpstreamExchange waiting = pollWaiting();
                if (waiting != null) {
                    failed.add(waiting);
                }
            } while (!othersServe && !mWaiting.isEmpty());
        }
        failed.forEach(exchange -> exchange.fail(cause));
    }

    private synchronized UpstreamExchange pollWaiting() {
        Iterator<UpstreamExchange> waiting = mWaiting.iterator();
        if (!waiting.hasNext()) {
            return null;
        }
        UpstreamExchange first = waiting.next();
        waiting.remove();
        return first;
    }

    /** Takes back a connection whose exchange has ended, and gives it to the next one. */
    void release(UpstreamConnection connection) {
        // A loop: each of thousands of waiting exchanges may turn out to be cancelled.
        while (true) {
            UpstreamExchange next;
            synchronized (this) {
                next = pollWaiting();
                if (next == null) {
                    if (mOpen.contains(connection)) {
                        mIdle.addFirst(connection);
                    }
                    return;
                }
            }
            SendResult result = connection.send(next);
            if (result == SendResult.CLOSED) {
                send(next);
            }
            if (result != SendResult.CANCELLED) {
                return;
            }
        }
    }

    /** Forgets a connection that was closed. */
    void remove(UpstreamConnection connection) {
        boolean connect;
        synchronized (this) {
            mOpen.remove(connection);
            mIdle.remove(connection);
            connect = reserveConnect();
        }
        if (connect) {
            connect();
        }
    }

    /** Forgets an exchange that no longer waits. */
    synchronized void removeWaiting(UpstreamExchange exchange) {
        mWaiting.remove(exchange);
    }

    /**
     * Closes the connections that carry no exchange.
     *
     * <p>When something between the two ends has lost the state of one connection, it has usually
     * lost that of all connections open at the time. Trying them one by one would cost a request
     * the timeout of an unresponsive peer for each.
     */
    void evictIdle() {
        List<UpstreamConnection> idle;
        synchronized (this) {
            idle = new ArrayList<>(mIdle);
            mIdle.clear();
        }
        idle.forEach(UpstreamConnection::closeIfIdle);
    }

    /** Closes the idle connections, and fails the exchanges that wait and come. */
    void close() {
        List<UpstreamExchange> waiting;
        synchronized (this) {
            mClosed = true;
            waiting = new ArrayList<>(mWaiting);
            mWaiting.clear();
        }
        waiting.forEach(
                exchange -> exchange.fail(new RejectedExecutionException("client stopped")));
        evictIdle();
    }

    synchronized int idle() {
        return mIdle.size();
    }

    synchronized int waiting() {
        return mWaiting.size();
    }
}
