package org.apricotgauge.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.UnresolvedAddressException;
import java.nio.channels.UnsupportedAddressTypeException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * A UDP port that sends and receives datagrams.
 *
 * <pre>{@code
 * DatagramPort port = DatagramPort.open(own, "health reports", ticker);
 * port.listen((from, bytes, length) -> ...);
 * port.send(bytes, to);
 * }</pre>
 *
 * <p>A datagram that can't be sent or decoded is logged at most once a minute. Users must tolerate
 * the loss of any datagram.
 */
final class DatagramPort implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(DatagramPort.class);

    /** Addresses cached at most; since VMs come and go, the cache is cleared beyond this. */
    private static final int MAX_CACHED_ADDRESSES = 4_096;

    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final long WARNING_INTERVAL_MILLIS = 60_000;

    private final DatagramChannel mChannel;
    private final String mName;
    private final Ticker mTicker;
    private final Map<Address, InetSocketAddress> mSocketAddresses = new ConcurrentHashMap<>();
    private volatile long mLastWarningMillis = Long.MIN_VALUE / 2;

    /** Handles datagrams, on the port's own thread. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Handles a datagram.
         *
         * @param from address of the sender
         * @param bytes buffer that holds the datagram; valid until this method returns
         * @param length length of the datagram in bytes
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
     * @param name kind of the messages, for the log and the thread's name
     * @throws IOException if the port can't be opened
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

    /** Starts a thread that receives datagrams until the port is closed. */
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
                warn("malformed datagram", e);
            }
        }
    }

    /** Sends a datagram; it may be lost. */
    void send(byte[] bytes, Address to) {
        try {
            mChannel.send(ByteBuffer.wrap(bytes), socketAddressOf(to));
        } catch (ClosedChannelException e) {
            LOGGER.debugf("%s: closed, nothing is sent to %s", mName, to);
        } catch (IOException | UnresolvedAddressException | UnsupportedAddressTypeException e) {
            warn("cannot send to " + to, e);
        }
    }

    // Parsing an IP address costs several times as much as sending a datagram.
    private InetSocketAddress socketAddressOf(Address to) {
        if (mSocketAddresses.size() > MAX_CACHED_ADDRESSES) {
            mSocketAddresses.clear();
        }
        return mSocketAddresses.computeIfAbsent(
                to, address -> new InetSocketAddress(address.host(), address.port()));
    }

    private void warn(String message, Exception e) {
        long nowMillis = mTicker.millis();
        if (nowMillis - mLastWarningMillis >= WARNING_INTERVAL_MILLIS) {
            mLastWarningMillis = nowMillis;
            LOGGER.warnf("%s: %s: %s", mName, message, e);
        }
    }

    @Override
    public void close() {
        try {
            mChannel.close();
        } catch (IOException e) {
            LOGGER.warnf("%s: cannot close the port: %s", mName, e);
        }
    }
}
