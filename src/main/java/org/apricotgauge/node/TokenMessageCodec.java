package org.apricotgauge.node;

import java.io.IOException;
import org.apricotgauge.decision.ratelimit.TokenGrant;
import org.apricotgauge.decision.ratelimit.TokenMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Messages about tokens as MessagePack maps; crash news, which share the port, are arrays.
 *
 * <p>Written and read by hand: there are two for each request of a member with a limit.
 */
final class TokenMessageCodec {
    private static final String ID = "id";
    private static final String MEMBER = "member";
    private static final String COUNT = "count";
    private static final String FINAL = "final";
    private static final String GRANTED = "granted";
    private static final String RETRY_AFTER = "retryAfter";
    private static final int REQUEST_FIELDS = 4;
    private static final int RESPONSE_FIELDS = 3;

    private TokenMessageCodec() {}

    /** Returns whether a datagram may be such a message. */
    static boolean isTokenMessage(byte[] bytes, int length) {
        return length > 0 && MessageFormat.valueOf(bytes[0]).getValueType() == ValueType.MAP;
    }

    static byte[] encode(TokenMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof TokenMessage.Request ask) {
                packer.packMapHeader(REQUEST_FIELDS);
                packer.packString(ID).packLong(ask.id());
                packer.packString(MEMBER).packString(ask.member());
                packer.packString(COUNT).packInt(ask.count());
                packer.packString(FINAL).packBoolean(ask.isFinal());
            } else if (message instanceof TokenMessage.Response reply) {
                packer.packMapHeader(RESPONSE_FIELDS);
                packer.packString(ID).packLong(reply.id());
                packer.packString(GRANTED).packInt(reply.grant().granted());
                packer.packString(RETRY_AFTER).packLong(reply.grant().retryAfterMillis());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a message can always be written", e);
        }
    }

    /**
     * Reads a message; fields of a later release are passed over.
     *
     * @throws IOException if the datagram is malformed
     */
    static TokenMessage decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            return read(unpacker);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("not a message about tokens", e);
        }
    }

    private static TokenMessage read(MessageUnpacker unpacker) throws IOException {
        long id = 0;
        String member = null;
        int count = 0;
        boolean isFinal = false;
        int granted = 0;
        long retryAfterMillis = 0;
        int fields = unpacker.unpackMapHeader();
        for (int i = 0; i < fields; i++) {
            switch (unpacker.unpackString()) {
                case ID -> id = unpacker.unpackLong();
                case MEMBER -> member = unpacker.unpackString();
                case COUNT -> count = unpacker.unpackInt();
                case FINAL -> isFinal = unpacker.unpackBoolean();
                case GRANTED -> granted = unpacker.unpackInt();
                case RETRY_AFTER -> retryAfterMillis = unpacker.unpackLong();
                default -> unpacker.skipValue();
            }
        }
        return member != null
                ? new TokenMessage.Request(id, member, count, isFinal)
                : new TokenMessage.Response(id, new TokenGrant(granted, retryAfterMillis));
    }
}
