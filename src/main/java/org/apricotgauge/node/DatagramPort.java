package org.apricotgauge.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * A UDP port at which a node hears one kind of news and from which it tells it.
 *
 * <pre>{@code
 * DatagramPort port = DatagramPort.open(own, "health news", ticker);
 * port.listen((from, bytes, length) -> ...);
 * port.send(bytes, to);
 * }</pre>
 *
 * <p>A datagram that can't be sent or read leaves a line in the log at most once a minute; what
 * rests on datagrams must do without any one of them.
 */
final class DatagramPort implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(DatagramPort.class);

    /** VMs come and go; addresses of those that went are forgotten with all others. */
    private static final int MAX_CACHED_ADDRESSES = 4_096;

    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final long WARNING_INTERVAL_MILLIS = 60_000;

    private final DatagramChannel mChannel;
    private final String mName;
    private final Ticker mTicker;
    private final Map<Address, InetSocketAddress> mSocketAddresses = new ConcurrentHashMap<>();
    private volatile long mLastWarningMillis = Long.MIN_VALUE / 2;

    /** Hears datagrams, on the port's own thread. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Takes a datagram.
         *
         * @param from who sent it
         * @param bytes holds it, until this returns
         * @param length its length
         * @throws IOException if it is malformed
         */
        void onDatagram(Address from, byte[] bytes, int length) throws IOException;
    }

    private DatagramPort(DatagramChannel channel, String name, Ticker ticker) {
        mChannel = channel;
        mName = name;
        mTicker = ticker;
    }

    /**
     * Opens the port.
     *
     * @param own own address
     * @param name what is told there, for the log
     * @throws IOException if the port can't be had
     */
    static DatagramPort open(Address own, String name, Ticker ticker) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        try {
            channel.bind(new InetSocketAddress(own.host(), own.port()));
        } catch (IOException e) {
            channel.close();
            throw new IOException("UDP port " + own + " for " + name + ": " + e.getMessage(), e);
        }
        return new DatagramPort(channel, name, ticker);
    }

    /** Starts to hear. */
    void listen(Receiver receiver) {
        Thread thread = new Thread(() -> receiveUntilClosed(receiver), mName.replace(' ', '-'));
        thread.setDaemon(true);
        thread.start();
    }

    private void receiveUntilClosed(Receiver receiver) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        while (mChannel.isOpen()) {
            try {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) mChannel.receive(buffer);
                receiver.onDatagram(
                        new Address(from.getAddress().getHostAddress(), from.getPort()),
                        buffer.array(),
                        buffer.position());
            } catch (ClosedChannelException e) {
                LOGGER.debugf("%s: closed", mName);
            } catch (IOException | RuntimeException e) {
                warn("a datagram is not understood", e);
            }
        }
    }

    /** Sends a datagram; it may be lost. */
    void send(byte[] bytes, Address to) {
        try {
            mChannel.send(ByteBuffer.wrap(bytes), socketAddressOf(to));
        } catch (ClosedChannelException e) {
            LOGGER.debugf("%s: closed, nothing is told to %s", mName, to);
        } catch (IOException e) {
            warn("nothing is told to " + to, e);
        }
    }

    // Reading an IP number costs several times what sending a datagram does.
    private InetSocketAddress socketAddressOf(Address to) {
        if (mSocketAddresses.size() > MAX_CACHED_ADDRESSES) {
            mSocketAddresses.clear();
        }
        return mSocketAddresses.computeIfAbsent(
                to, address -> new InetSocketAddress(address.host(), address.port()));
    }

    private void warn(String what, Exception e) {
        long nowMillis = mTicker.millis();
        if (nowMillis - mLastWarningMillis >= WARNING_INTERVAL_MILLIS) {
            mLastWarningMillis = nowMillis;
            LOGGER.warnf("%s: %s: %s", mName, what, e);
        }
    }

    @Override
    public void close() {
        try {
            mChannel.close();
        } catch (IOException e) {
            LOGGER.warnf("%s: does not close: %s", mName, e);
        }
    }
}
