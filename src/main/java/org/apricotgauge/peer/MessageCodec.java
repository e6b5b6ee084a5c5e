package org.apricotgauge.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.EnumMap;
import java.util.Map;
import org.apricotgauge.decision.gossip.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes frames: four bytes of length, one byte of type, a record as a MessagePack
 * map.
 *
 * <p>The length counts the type and the record. Unknown fields and unknown types are ignored, so
 * that releases can differ within a fleet. Safe to share between threads.
 */
public final class MessageCodec {
    /**
     * Maximum length of a frame without its length prefix, in bytes: a value of 1 MB and its
     * envelope.
     */
    public static final int MAX_FRAME_BYTES = (1 << 20) + (64 << 10);

    /** Size of the length prefix of each frame, in bytes. */
    public static final int LENGTH_BYTES = Integer.BYTES;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final Map<MessageType, ObjectReader> READERS = new EnumMap<>(MessageType.class);
    private static final ObjectWriter WRITER = MAPPER.writer();

    static {
        for (MessageType type : MessageType.values()) {
            READERS.put(type, MAPPER.readerFor(type.record()));
        }
    }

    private MessageCodec() {}

    /**
     * Returns the frame of a message, with its length prefix.
     *
     * @throws IllegalArgumentException if it would be longer than {@link #MAX_FRAME_BYTES}
     */
    public static byte[] encode(PeerMessage message) {
        try {
            byte[] body = WRITER.writeValueAsBytes(message);
            int length = body.length + 1;
            if (length > MAX_FRAME_BYTES) {
                throw new IllegalArgumentException("frame too long, was " + length + " bytes");
            }
            return ByteBuffer.allocate(LENGTH_BYTES + length)
                    .putInt(length)
                    .put(MessageType.of(message).number())
                    .put(body)
                    .array();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes one frame without its length prefix.
     *
     * @return the message, or null if this release does not know its type
     * @throws IOException if the frame is not a valid message
     */
    public static PeerMessage decode(byte[] frame, int offset, int length) throws IOException {
        MessageType type = MessageType.of(frame[offset]);
        if (type == null) {
            return null;
        }
        return READERS.get(type).readValue(frame, offset + 1, length - 1);
    }
}
