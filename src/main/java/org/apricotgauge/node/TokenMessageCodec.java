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
 * Encodes and decodes rate limit messages as MessagePack maps.
 *
 * <p>Crash messages, which share the UDP port, are arrays. The codec is written by hand for speed:
 * each request of a member with a limit takes two messages.
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

    /** Returns whether a datagram may be a rate limit message. */
    static boolean isTokenMessage(byte[] bytes, int length) {
        return length > 0 && MessageFormat.valueOf(bytes[0]).getValueType() == ValueType.MAP;
    }

    static byte[] encode(TokenMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof TokenMessage.Request request) {
                packer.packMapHeader(REQUEST_FIELDS);
                packer.packString(ID).packLong(request.id());
                packer.packString(MEMBER).packString(request.member());
                packer.packString(COUNT).packInt(request.count());
                packer.packString(FINAL).packBoolean(request.isFinal());
            } else if (message instanceof TokenMessage.Response response) {
                packer.packMapHeader(RESPONSE_FIELDS);
                packer.packString(ID).packLong(response.id());
                packer.packString(GRANTED).packInt(response.grant().granted());
                packer.packString(RETRY_AFTER).packLong(response.grant().retryAfterMillis());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a rate limit message", e);
        }
    }

    /**
     * Decodes a message; unknown fields, as of a later release, are skipped.
     *
     * @throws IOException if the datagram is malformed
     */
    static TokenMessage decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            return read(unpacker);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed rate limit message", e);
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
