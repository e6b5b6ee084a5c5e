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
 * Sends and receives crash messages, one per datagram; {@link
 * org.apricotgauge.decision.quarantine.CrashGossip} compensates for lost ones.
 */
final class CrashMessageTransport implements AutoCloseable {
    private final DatagramPort mPort;

    /** Creates a transport on a port that others may share. */
    CrashMessageTransport(DatagramPort port) {
        mPort = port;
    }

    static byte[] encode(CrashMessage message) {
        try {
            return Codec.WRITER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a crash message", e);
        }
    }

    static CrashMessage decode(byte[] bytes, int length) throws IOException {
        return Codec.READER.readValue(bytes, 0, length);
    }

    /**
     * Opens a port and starts to listen.
     *
     * @param own own address
     * @param receiver called with each message, on the port's own thread
     * @throws IOException if the port can't be opened
     */
    static CrashMessageTransport start(
            Address own, Ticker ticker, BiConsumer<Address, CrashMessage> receiver)
            throws IOException {
        DatagramPort port = DatagramPort.open(own, "crash messages", ticker);
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

    /** Set up with the first message: few nodes ever send or receive one. */
    private static final class Codec {
        private static final ObjectMapper MAPPER = mapper();
        private static final ObjectWriter WRITER = MAPPER.writerFor(CrashMessage.class);
        private static final ObjectReader READER = MAPPER.readerFor(CrashMessage.class);

        // Written as arrays, since field names would be half of a message.
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
    }
}
