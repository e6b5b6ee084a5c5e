package org.apricotgauge.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Stands for an API key: the first half of its SHA-256.
 *
 * <pre>{@code
 * KeyDigest digest = KeyDigest.of(bearerToken);
 * Member member = configuration.memberOf(digest);
 * }</pre>
 *
 * <p>Configurations, memory and logs hold digests alone, so that none of them gives a key away.
 *
 * @param high first eight bytes
 * @param low next eight bytes
 */
public record KeyDigest(long high, long low) implements Comparable<KeyDigest> {
    private static final HexFormat HEX = HexFormat.of();
    private static final int HALF_DIGITS = 16;

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        ByteBuffer hash = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new KeyDigest(hash.getLong(), hash.getLong());
    }

    /**
     * Reads the form of {@link #toString}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator
    public static KeyDigest parse(String text) {
        if (text == null || text.length() != 2 * HALF_DIGITS) {
            throw new IllegalArgumentException(
                    "key must be the first 32 hexadecimal digits of its SHA-256");
        }
        return new KeyDigest(
                HexFormat.fromHexDigitsToLong(text, 0, HALF_DIGITS),
                HexFormat.fromHexDigitsToLong(text, HALF_DIGITS, text.length()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public int compareTo(KeyDigest other) {
        int byHigh = Long.compare(high, other.high);
        return byHigh != 0 ? byHigh : Long.compare(low, other.low);
    }

    /** Returns 32 hexadecimal digits. */
    @JsonValue
    @Override
    public String toString() {
        return HEX.toHexDigits(high) + HEX.toHexDigits(low);
    }
}
