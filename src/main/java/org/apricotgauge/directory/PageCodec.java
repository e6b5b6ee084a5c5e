package org.apricotgauge.directory;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.apricotgauge.model.StorePosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes pages in MessagePack, as nodes send them to each other, and decodes them.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(page, true);
 * PublishedPage page = codec.decode(bytes);
 * }</pre>
 *
 * <p>A node serves up to a dozen others. Uncompressed, a configuration of a thousand routes
 * occupies a narrow link for seconds and delays all later changes, so large values are compressed
 * for readers that support it. The codec is written by hand: setting up data binding for these
 * types takes a good part of a node's start. Thread-safe.
 */
public final class PageCodec {
    private static final String REVISION = "revision";
    private static final String WHOLE = "whole";
    private static final String ITEMS = "items";
    private static final String AGE_MILLIS = "ageMillis";
    private static final String ERA = "era";
    private static final String LOST_WRITES = "lostWrites";
    private static final int PAGE_FIELDS = 6;

    private static final String KEY = "key";
    private static final String VALUE = "value";
    private static final String REMOVED = "removed";
    private static final String PLAIN_BYTES = "plainBytes";
    private static final int ITEM_FIELDS = 5;

    private final ValueCompressor mCompressor = new ValueCompressor();

    /**
     * Encodes a page.
     *
     * @param compressed whether the reader supports compressed values
     */
    public byte[] encode(PublishedPage page, boolean compressed) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(PAGE_FIELDS);
            packer.packString(REVISION).packLong(page.position().revision());
            packer.packString(WHOLE).packBoolean(page.full());
            packer.packString(ITEMS);
            packItems(packer, page.items(), compressed);
            packer.packString(AGE_MILLIS).packLong(page.ageMillis());
            packer.packString(ERA).packLong(page.position().era());
            packer.packString(LOST_WRITES);
            if (page.lostWrites().isEmpty()) {
                packer.packNil();
            } else {
                packItems(packer, page.lostWrites(), compressed);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode page", e);
        }
    }

    private void packItems(
            MessageBufferPacker packer, Collection<PublishedItem> items, boolean compressed)
            throws IOException {
        packer.packArrayHeader(items.size());
        for (PublishedItem item : items) {
            packItem(packer, item, compressed);
        }
    }

    private void packItem(MessageBufferPacker packer, PublishedItem item, boolean compressed)
            throws IOException {
        boolean isCompressed = compressed && item.value().length >= ValueCompressor.MIN_BYTES;
        byte[] value = isCompressed ? mCompressor.compress(item.value()) : item.value();
        packer.packMapHeader(ITEM_FIELDS);
        packer.packString(KEY).packString(item.key());
        packer.packString(VALUE).packBinaryHeader(value.length).writePayload(value);
        packer.packString(REVISION).packLong(item.revision());
        packer.packString(REMOVED).packBoolean(item.removed());
        packer.packString(PLAIN_BYTES);
        if (isCompressed) {
            packer.packInt(item.value().length);
        } else {
            packer.packNil();
        }
    }

    /**
     * Decodes a page; unknown fields, as of a later release, are skipped. Nodes of earlier releases
     * send no age, era or lost writes.
     *
     * @throws IOException if the bytes are not a valid page
     */
    public PublishedPage decode(byte[] bytes) throws IOException {
        long revision = 0;
        boolean full = false;
        List<PublishedItem> items = null;
        long ageMillis = PublishedPage.UNKNOWN_AGE;
        long era = StorePosition.UNKNOWN_ERA;
        List<PublishedItem> lostWrites = List.of();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackMapHeader();
            for (int i = 0; i < fields; i++) {
                String field = unpacker.unpackString();
                if (unpacker.tryUnpackNil()) {
                    continue;
                }
                switch (field) {
                    case REVISION -> revision = unpacker.unpackLong();
                    case WHOLE -> full = unpacker.unpackBoolean();
                    case ITEMS -> items = unpackItems(unpacker, bytes.length);
                    case AGE_MILLIS -> ageMillis = unpacker.unpackLong();
                    case ERA -> era = unpacker.unpackLong();
                    case LOST_WRITES -> lostWrites = unpackItems(unpacker, bytes.length);
                    default -> unpacker.skipValue();
                }
            }
        } catch (MessagePackException e) {
            throw new IOException("malformed page", e);
        }
        if (items == null) {
            throw new IOException("page without items");
        }
        return new PublishedPage(
                new StorePosition(era, revision), full, items, lostWrites, ageMillis);
    }

    private List<PublishedItem> unpackItems(MessageUnpacker unpacker, int maxValueBytes)
            throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<PublishedItem> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(unpackItem(unpacker, maxValueBytes));
        }
        return items;
    }

    private PublishedItem unpackItem(MessageUnpacker unpacker, int maxValueBytes)
            throws IOException {
        String key = null;
        byte[] value = null;
        long revision = 0;
        boolean removed = false;
        Integer plainBytes = null;
        int fields = unpacker.unpackMapHeader();
        for (int i = 0; i < fields; i++) {
            String field = unpacker.unpackString();
            if (unpacker.tryUnpackNil()) {
                continue;
            }
            switch (field) {
                case KEY -> key = unpacker.unpackString();
                case VALUE -> value = unpackValue(unpacker, maxValueBytes);
                case REVISION -> revision = unpacker.unpackLong();
                case REMOVED -> removed = unpacker.unpackBoolean();
                case PLAIN_BYTES -> plainBytes = unpacker.unpackInt();
                default -> unpacker.skipValue();
            }
        }
        boolean isCompressed = value != null && plainBytes != null;
        return new PublishedItem(
                key,
                isCompressed ? mCompressor.decompress(value, plainBytes) : value,
                revision,
                removed);
    }

    private static byte[] unpackValue(MessageUnpacker unpacker, int maxBytes) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > maxBytes) {
            throw new IOException("value of " + length + " bytes is longer than its page");
        }
        return unpacker.readPayload(length);
    }
}
