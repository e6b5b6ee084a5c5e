package org.apricotgauge.directory;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses large values for the way between two nodes.
 *
 * <p>The configuration is the one large value, and goes to many readers; so the last one packed or
 * unpacked is kept in both forms, and a node that passes it on compresses nothing. Thread-safe.
 */
final class ValueCompressor {
    /** Smaller values are not worth the work. */
    static final int MIN_BYTES = 1_024;

    /** No value of the platform is as large. */
    private static final int MAX_PLAIN_BYTES = 8 << 20;

    private static final int BUFFER_BYTES = 4_096;

    private volatile CachedValue mLast = new CachedValue(new byte[0], new byte[0]);

    private record CachedValue(byte[] plain, byte[] compressed) {}

    /** Returns the compressed form of a value. */
    byte[] compress(byte[] plain) {
        CachedValue last = mLast;
        if (last.plain() == plain) {
            return last.compressed();
        }
        byte[] packed = deflate(plain);
        mLast = new CachedValue(plain, packed);
        return packed;
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the value of a compressed form.
     *
     * @param plainBytes length of the value
     * @throws IOException if it is not the form of a value of that length
     */
    byte[] decompress(byte[] packed, int plainBytes) throws IOException {
        if (plainBytes < 0 || plainBytes > MAX_PLAIN_BYTES) {
            throw new IOException("value of " + plainBytes + " bytes is too large");
        }
        byte[] plain = inflate(packed, plainBytes);
        mLast = new CachedValue(plain, packed);
        return plain;
    }

    private static byte[] inflate(byte[] packed, int plainBytes) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            byte[] plain = new byte[plainBytes];
            int length = inflater.inflate(plain);
            if (length != plainBytes || inflater.inflate(new byte[1]) != 0) {
                throw new IOException("compressed value is not of " + plainBytes + " bytes");
            }
            return plain;
        } catch (DataFormatException e) {
            throw new IOException("compressed value can't be read", e);
        } finally {
            inflater.end();
        }
    }
}
