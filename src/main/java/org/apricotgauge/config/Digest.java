package org.apricotgauge.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of 256 bits, as four words.
 *
 * <pre>{@code
 * boolean agree = mine.digest().equals(Digest.parse(theirs));
 * }</pre>
 *
 * <p>Written as 64 hexadecimal digits in JSON and as 32 bytes by {@link #toBytes}.
 *
 * @param word0 first eight bytes, most significant first
 * @param word1 second eight bytes
 * @param word2 third eight bytes
 * @param word3 last eight bytes
 */
public record Digest(long word0, long word1, long word2, long word3) {
    /** All bits zero: the digest of nothing. */
    public static final Digest ZERO = new Digest(0, 0, 0, 0);

    /** Length in bytes. */
    public static final int BYTES = 32;

    /**
     * Reads 64 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    @JsonCreator
    public static Digest parse(String hex) {
        if (hex == null || hex.length() != 2 * BYTES) {
            throw new IllegalArgumentException("digest must be 64 hexadecimal digits, was " + hex);
        }
        return ofBytes(HexFormat.of().parseHex(hex));
    }

    /**
     * Reads 32 bytes.
     *
     * @throws IllegalArgumentException if there are more or fewer
     */
    public static Digest ofBytes(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("digest must be 32 bytes, was " + bytes.length);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new Digest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
    }

    /** Returns the 32 bytes. */
    public byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(BYTES);
        buffer.putLong(word0).putLong(word1).putLong(word2).putLong(word3);
        return buffer.array();
    }

    /** Returns the 64 hexadecimal digits. */
    @JsonValue
    @Override
    public String toString() {
        return HexFormat.of().formatHex(toBytes());
    }

    /** Returns SHA-256 over the parts, in their order. */
    static Digest sha256(byte[]... parts) {
        MessageDigest sha = newSha256();
        for (byte[] part : parts) {
            sha.update(part);
        }
        return ofBytes(sha.digest());
    }

    /** Returns the sum, word by word; with {@link #minus} a digest of a set in any order. */
    Digest plus(Digest other) {
        return new Digest(
                word0 + other.word0, word1 + other.word1, word2 + other.word2, word3 + other.word3);
    }

    /** Returns the difference, word by word. */
    Digest minus(Digest other) {
        return new Digest(
                word0 - other.word0, word1 - other.word1, word2 - other.word2, word3 - other.word3);
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
