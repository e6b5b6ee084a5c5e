package org.apricotgauge.node;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Carries what nodes tell each other of crashes, one message a datagram.
 *
 * <p>A datagram that can't be sent or read leaves a line in the log at most once a minute; {@link
 * org.apricotgauge.decision.quarantine.CrashGossip} makes up for it.
 */
final class CrashNews implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(CrashNews.class);
    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectWriter WRITER = MAPPER.writerFor(CrashMessage.class);
    private static final ObjectReader READER = MAPPER.readerFor(CrashMessage.class);
    private static final int MAX_BYTES = 2_048;
    private static final long WARN_EVERY_MILLIS = 60_000;

    private final DatagramChannel mChannel;
    private final Ticker mTicker;
    private volatile long mWarnedMillis = Long.MIN_VALUE / 2;

    private CrashNews(DatagramChannel channel, Ticker ticker) {
        mChannel = channel;
        mTicker = ticker;
    }

    // Arrays: names of fields would be half of a message.
    private static ObjectMapper mapper() {
        ObjectMapper mapper =
                new ObjectMapper(new MessagePackFactory())
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        for (Class<?> type : new Class<?>[] {CrashMessage.class, CrashMessage.Line.class}) {
            mapper.configOverride(type)
                    .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        }
        return mapper;
    }

    static byte[] encode(CrashMessage message) throws IOException {
        return WRITER.writeValueAsBytes(message);
    }

    static CrashMessage decode(byte[] bytes, int length) throws IOException {
        return READER.readValue(bytes, 0, length);
    }

    /**
     * Starts to listen.
     *
     * @param own own address
     * @param receiver hears messages, on the thread of this carrier
     * @throws IOException if the port can't be had
     */
    static CrashNews start(Address own, Ticker ticker, BiConsumer<Address, CrashMessage> receiver)
            throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        try {
            channel.bind(new InetSocketAddress(own.host(), own.port()));
        } catch (IOException e) {
            channel.close();
            throw new IOException("UDP port " + own + ": " + e.getMessage(), e);
        }
        CrashNews news = new CrashNews(channel, ticker);
        Thread thread = new Thread(() -> news.listen(receiver), "crash-news");
        thread.setDaemon(true);
        thread.start();
        return news;
    }

    /** Sends a message; it may be lost. */
    void send(Address to, CrashMessage message) {
        try {
            mChannel.send(
                    ByteBuffer.wrap(encode(message)), new InetSocketAddress(to.host(), to.port()));
        } catch (ClosedChannelException e) {
            LOGGER.debugf("closed; crashes are not told to %s", to);
        } catch (IOException e) {
            warn("crashes are not told to " + to, e);
        }
    }

    private void listen(BiConsumer<Address, CrashMessage> receiver) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
        while (mChannel.isOpen()) {
            try {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) mChannel.receive(buffer);
                receiver.accept(
                        new Address(from.getAddress().getHostAddress(), from.getPort()),
                        decode(buffer.array(), buffer.position()));
            } catch (ClosedChannelException e) {
                LOGGER.debug("crash news closed");
            } catch (IOException | RuntimeException e) {
                warn("a datagram on crashes is not understood", e);
            }
        }
    }

    private void warn(String what, Exception e) {
        long nowMillis = mTicker.millis();
        if (nowMillis - mWarnedMillis >= WARN_EVERY_MILLIS) {
            mWarnedMillis = nowMillis;
            LOGGER.warnf("%s: %s", what, e);
        }
    }

    @Override
    public void close() {
        try {
            mChannel.close();
        } catch (IOException e) {
            LOGGER.warnf("crash news does not close: %s", e);
        }
    }
}
