package org.apricotgauge.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apricotgauge.decision.gossip.PeerMessage;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;

/**
 * Exchanges messages with other nodes, using one thread, one selector and bounded queues.
 *
 * <pre>{@code
 * PeerLoop loop = PeerLoop.bind("control-vm1", "127.0.0.1", 0, ticker, metrics);
 * loop.start(handler);
 * loop.execute(() -> loop.send(link, message));
 * }</pre>
 *
 * <p>The handler, and all methods but {@link #execute}, {@link #start} and {@link #close()}, run on
 * the loop's thread, so that a state machine behind it needs no locks.
 */
public final class PeerLoop implements AutoCloseable {
    private static final long TICK_MILLIS = 100;
    private static final int READ_BUFFER_BYTES = 64 << 10;
    private static final int MAX_CONNECTIONS = 128;
    private static final long JOIN_MILLIS = 5_000;

    /** Receives the loop's events on its thread. */
    public interface Handler {
        /** Called when a peer has connected to this node. */
        void onAccepted(long link);

        /** Called when a dialled connection is established. */
        void onConnected(long link);

        /** Called when a message arrives. */
        void onMessage(long link, PeerMessage message);

        /** Called when a link has closed or a dial has failed. */
        void onClosed(long link);

        /** Called about every 100 milliseconds. */
        void onTick();

        /** Called when an exception of the handler or the selector has stopped the loop. */
        void onFatalError(RuntimeException failure);
    }

    private final Selector mSelector;
    private final ServerSocketChannel mServer;
    private final Ticker mTicker;
    private final TransportCounters mCounters;
    private final Thread mThread;
    private final Queue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final Map<Long, PeerConnection> mConnections = new HashMap<>();
    private final Set<PeerConnection> mUnflushed = new HashSet<>();
    private final ByteBuffer mReadBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final PeerConnection.LastFrameCache mLastFrameCache =
            new PeerConnection.LastFrameCache();
    private volatile boolean mClosing;
    private Handler mHandler;
    private long mNextAcceptedLink = -1;
    private long mNextTickMillis;

    private PeerLoop(String name, ServerSocketChannel server, Ticker ticker, MetricRegistry metrics)
            throws IOException {
        mSelector = Selector.open();
        mServer = server;
        mServer.configureBlocking(false);
        mServer.register(mSelector, SelectionKey.OP_ACCEPT);
        mTicker = ticker;
        mCounters = TransportCounters.register(metrics);
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Binds the listening port; nothing is served before {@link #start}.
     *
     * @param port port to listen at, or 0 for any free one
     * @throws IOException if it cannot listen there
     */
    public static PeerLoop bind(
            String name, String host, int port, Ticker ticker, MetricRegistry metrics)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(host, port), MAX_CONNECTIONS);
            return new PeerLoop(name, server, ticker, metrics);
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    /** Returns the port that the loop listens at. */
    public int port() {
        return mServer.socket().getLocalPort();
    }

    /** Returns the id of the loop's thread, for measuring its CPU time. */
    public long threadId() {
        return mThread.getId();
    }

    /** Starts serving. */
    public void start(Handler handler) {
        mHandler = handler;
        mThread.start();
    }

    /** Runs a task on the loop's thread. */
    public void execute(Runnable task) {
        mTasks.add(task);
        mSelector.wakeup();
    }

    /**
     * Dials a peer; the handler's {@code onConnected} or {@code onClosed} is called with the
     * result.
     */
    public void dial(long link, Address address) {
        try {
            SocketChannel channel = SocketChannel.open();
            PeerConnection connection = register(link, channel, SelectionKey.OP_CONNECT);
            if (channel.connect(new InetSocketAddress(address.host(), address.port()))) {
                onConnected(connection);
            }
        } catch (IOException | UnresolvedAddressException e) {
            execute(() -> closeAndNotify(link));
        }
    }

    /** Queues a message; does nothing if the link is closed. */
    public void send(long link, PeerMessage message) {
        PeerConnection connection = mConnections.get(link);
        if (connection == null) {
            return;
        }
        if (connection.enqueue(mLastFrameCache.frameOf(message))) {
            mUnflushed.add(connection);
        } else {
            mCounters.overflows().inc();
            execute(() -> closeAndNotify(link));
        }
    }

    /**
     * Closes a link after writing what the socket accepts at once; {@code onClosed} is not called.
     */
    public void close(long link) {
        PeerConnection connection = mConnections.remove(link);
        if (connection != null) {
            mUnflushed.remove(connection);
            flushQuietly(connection);
            closeQuietly(connection.channel());
        }
    }

    /** Stops the loop after writing what the sockets accept at once, and closes all links. */
    @Override
    public void close() {
        mClosing = true;
        mSelector.wakeup();
        try {
            if (Thread.currentThread() != mThread && mThread.isAlive()) {
                mThread.join(JOIN_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            mNextTickMillis = mTicker.millis();
            while (!mClosing) {
                runOnce();
            }
        } catch (IOException e) {
            mHandler.onFatalError(new IllegalStateException("selector failed", e));
        } catch (RuntimeException e) {
            mHandler.onFatalError(e);
        } finally {
            mConnections.values().forEach(this::flushQuietly);
            mConnections.values().forEach(c -> closeQuietly(c.channel()));
            closeQuietly(mServer);
            closeQuietly(mSelector);
        }
    }

    private void runOnce() throws IOException {
        long waitMillis = mNextTickMillis - mTicker.millis();
        if (waitMillis > 0 && mTasks.isEmpty()) {
            mSelector.select(this::handleReadyKey, waitMillis);
        } else {
            mSelector.selectNow(this::handleReadyKey);
        }
        Runnable task = mTasks.poll();
        while (task != null) {
            task.run();
            task = mTasks.poll();
        }
        if (mTicker.millis() >= mNextTickMillis) {
            mNextTickMillis = mTicker.millis() + TICK_MILLIS;
            mHandler.onTick();
        }
        flushPending();
    }

    private void flushPending() {
        if (mUnflushed.isEmpty()) {
            return;
        }
        for (PeerConnection connection : Set.copyOf(mUnflushed)) {
            try {
                connection.flush();
            } catch (IOException e) {
                closeAndNotify(connection.link());
            }
        }
        mUnflushed.clear();
    }

    private void handleReadyKey(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        if (key.isAcceptable()) {
            accept();
            return;
        }
        PeerConnection connection = (PeerConnection) key.attachment();
        try {
            if (key.isConnectable() && connection.channel().finishConnect()) {
                onConnected(connection);
            }
            if (key.isValid() && key.isWritable()) {
                connection.flush();
            }
            if (key.isValid() && key.isReadable()) {
                read(connection);
            }
        } catch (IOException e) {
            closeAndNotify(connection.link());
        }
    }

    private void accept() {
        try {
            SocketChannel channel = mServer.accept();
            if (channel == null) {
                return;
            }
            if (mConnections.size() >= MAX_CONNECTIONS) {
                channel.close();
                return;
            }
            long link = mNextAcceptedLink--;
            register(link, channel, SelectionKey.OP_READ);
            mHandler.onAccepted(link);
        } catch (IOException e) {
            mCounters.badFrames().inc();
        }
    }

    private PeerConnection register(long link, SocketChannel channel, int interest)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SelectionKey key = channel.register(mSelector, interest);
        PeerConnection connection = new PeerConnection(link, channel, key, mCounters);
        key.attach(connection);
        mConnections.put(link, connection);
        return connection;
    }

    private void onConnected(PeerConnection connection) {
        connection.key().interestOps(SelectionKey.OP_READ);
        mHandler.onConnected(connection.link());
    }

    private void read(PeerConnection connection) throws IOException {
        boolean isOpen = connection.read(mReadBuffer, new MessageDispatcher(connection));
        if (!isOpen) {
            closeAndNotify(connection.link());
        }
    }

    private void closeAndNotify(long link) {
        PeerConnection connection = mConnections.remove(link);
        if (connection != null) {
            mUnflushed.remove(connection);
            closeQuietly(connection.channel());
        }
        mHandler.onClosed(link);
    }

    private void flushQuietly(PeerConnection connection) {
        try {
            connection.flush();
        } catch (IOException e) {
            mCounters.badFrames().inc();
        }
    }

    private void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            mCounters.badFrames().inc();
        }
    }

    /** Decodes the frames of one connection and passes them to the handler. */
    private final class MessageDispatcher implements PeerConnection.FrameHandler {
        private final PeerConnection mConnection;

        MessageDispatcher(PeerConnection connection) {
            mConnection = connection;
        }

        @Override
        public void onFrame(byte[] bytes, int offset, int length) throws IOException {
            try {
                PeerMessage message = MessageCodec.decode(bytes, offset, length);
                if (message != null) {
                    mHandler.onMessage(mConnection.link(), message);
                }
            } catch (IOException | IllegalArgumentException e) {
                // No input of a peer may stop this process.
                mCounters.badFrames().inc();
                throw new IOException("cannot decode a frame", e);
            }
        }

        @Override
        public boolean isOpen() {
            return mConnections.containsKey(mConnection.link());
        }
    }
}
