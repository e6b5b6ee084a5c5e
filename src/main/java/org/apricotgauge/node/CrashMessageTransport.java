package org.apricotgauge.node;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.util.function.BiConsumer;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Carries what nodes tell each other of crashes, one message a datagram; {@link
 * org.apricotgauge.decision.quarantine.CrashGossip} makes up for those that are lost.
 */
final class CrashMessageTransport implements AutoCloseable {
    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectWriter WRITER = MAPPER.writerFor(CrashMessage.class);
    private static final ObjectReader READER = MAPPER.readerFor(CrashMessage.class);

    private final DatagramPort mPort;

    /** Creates a carrier on a port that others may share. */
    CrashMessageTransport(DatagramPort port) {
        mPort = port;
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

    static byte[] encode(CrashMessage message) {
        try {
            return WRITER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("a message can always be written", e);
        }
    }

    static CrashMessage decode(byte[] bytes, int length) throws IOException {
        return READER.readValue(bytes, 0, length);
    }

    /**
     * Starts to listen.
     *
     * @param own own address
     * @param receiver hears messages, on the port's own thread
     * @throws IOException if the port can't be had
     */
    static CrashMessageTransport start(
            Address own, Ticker ticker, BiConsumer<Address, CrashMessage> receiver)
            throws IOException {
        DatagramPort port = DatagramPort.open(own, "crash news", ticker);
        port.listen((from, bytes, length) -> receiver.accept(from, decode(bytes, length)));
        return new CrashMessageTransport(port);
    }

    /** Sends a message; it may be lost. */
    void send(Address to, CrashMessage message) {
        mPort.send(encode(message), to);
    }

    @Override
    public void close() {
        mPort.close();
    }
}
