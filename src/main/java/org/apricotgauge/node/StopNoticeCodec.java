package org.apricotgauge.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Encodes and decodes stop notices as MessagePack maps that begin with the incarnation.
 *
 * <p>They share the UDP port with rate limit messages. Nodes of earlier releases read a notice as
 * the response to a request that nobody sent, {@link #NO_REQUEST}, and ignore it without a log
 * line.
 */
final class StopNoticeCodec {
    /** Requests for tokens are numbered from 0. */
    static final long NO_REQUEST = -1;

    private static final String STOP = "stop";
    private static final String REMAINING = "left";
    private static final String GUARD_PORT = "port";
    private static final String ID = "id";
    private static final int FIELDS = 4;
    private static final byte[] FIRST_KEY = firstKey();

    private StopNoticeCodec() {}

    private static byte[] firstKey() {
        byte[] text = STOP.getBytes(StandardCharsets.US_ASCII);
        byte[] key = new byte[text.length + 1];
        key[0] = (byte) (MessagePack.Code.FIXSTR_PREFIX | text.length);
        System.arraycopy(text, 0, key, 1, text.length);
        return key;
    }

    /** Returns whether a datagram may be a stop notice. */
    static boolean isStopNotice(byte[] bytes, int length) {
        return length > FIRST_KEY.length
                && MessageFormat.valueOf(bytes[0]).getValueType() == ValueType.MAP
                && Arrays.equals(bytes, 1, 1 + FIRST_KEY.length, FIRST_KEY, 0, FIRST_KEY.length);
    }

    static byte[] encode(StopNotice notice) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(FIELDS);
            packer.packString(STOP).packLong(notice.incarnation());
            packer.packString(REMAINING).packLong(notice.remainingMillis());
            packer.packString(GUARD_PORT).packInt(notice.guardPort());
            packer.packString(ID).packLong(NO_REQUEST);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a stop notice", e);
        }
    }

    /**
     * Decodes a notice; unknown fields, as of a later release, are skipped.
     *
     * @throws IOException if the datagram is malformed
     */
    static StopNotice decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            return read(unpacker);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed stop notice", e);
        }
    }

    private static StopNotice read(MessageUnpacker unpacker) throws IOException {
        long incarnation = 0;
        long remainingMillis = -1;
        int guardPort = 0;
        int fields = unpacker.unpackMapHeader();
        for (int i = 0; i < fields; i++) {
            switch (unpacker.unpackString()) {
                case STOP -> incarnation = unpacker.unpackLong();
                case REMAINING -> remainingMillis = unpacker.unpackLong();
                case GUARD_PORT -> guardPort = unpacker.unpackInt();
                default -> unpacker.skipValue();
            }
        }
        return new StopNotice(incarnation, remainingMillis, guardPort);
    }
}
