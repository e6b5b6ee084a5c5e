package org.apricotgauge.directory;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses large values for transfer between nodes.
 *
 * <p>The configuration is the only large value, and is sent to many readers; so the last value is
 * cached in both forms, and a node that forwards it does not compress it again. Thread-safe.
 */
final class ValueCompressor {
    /** Smaller values are not worth compressing. */
    static final int MIN_BYTES = 1_024;

    /** Limit of an uncompressed value; all values of the platform are smaller. */
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
        byte[] compressed = deflate(plain);
        mLast = new CachedValue(plain, compressed);
        return compressed;
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
     * Returns the uncompressed value.
     *
     * @param plainBytes length of the uncompressed value
     * @throws IOException if the bytes are not the compressed form of a value of that length
     */
    byte[] decompress(byte[] compressed, int plainBytes) throws IOException {
        if (plainBytes < 0 || plainBytes > MAX_PLAIN_BYTES) {
            throw new IOException("value of " + plainBytes + " bytes is too large");
        }
        byte[] plain = inflate(compressed, plainBytes);
        mLast = new CachedValue(plain, compressed);
        return plain;
    }

    private static byte[] inflate(byte[] compressed, int plainBytes) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            byte[] plain = new byte[plainBytes];
            int length = inflater.inflate(plain);
            if (length != plainBytes || inflater.inflate(new byte[1]) != 0) {
                throw new IOException("decompressed value is not of " + plainBytes + " bytes");
            }
            return plain;
        } catch (DataFormatException e) {
            throw new IOException("cannot decompress value", e);
        } finally {
            inflater.end();
        }
    }
}
