package org.apricotgauge.decision.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies equal requests, whatever their ids and wherever they arrive.
 *
 * <pre>{@code
 * long head = Fingerprint.hashHead("GET", "site.example", "/lessons?week=3", "anonymous");
 * Fingerprint lookup = new Fingerprint(head, Fingerprint.NO_BODY);
 * }</pre>
 *
 * @param head hash of method, host, path with query, and member
 * @param body hash of the body, or {@link #NO_BODY} or {@link #UNKNOWN_BODY}
 */
public record Fingerprint(long head, long body) {
    /** Value for a request without a body. */
    public static final long NO_BODY = 0;

    /** Value for a body that has not been read far enough to compute its hash. */
    public static final long UNKNOWN_BODY = -1;

    private static final HexFormat HEX = HexFormat.of();
    private static final char SEPARATOR = '-';
    private static final int HEX_DIGITS = 16;
    private static final byte END_OF_PART = 0;

    /**
     * Returns the hash of the head of a request.
     *
     * @param member id of the member that the request belongs to
     */
    public static long hashHead(String method, String host, String pathQuery, String member) {
        MessageDigest digest = Sha256.create();
        for (String part : new String[] {method, host, pathQuery, member}) {
            digest.update(part.getBytes(StandardCharsets.UTF_8));
            digest.update(END_OF_PART);
        }
        return Sha256.firstLong(digest);
    }

    /** Returns whether the fingerprint covers the whole request, including its body. */
    public boolean isComplete() {
        return body != UNKNOWN_BODY;
    }

    /** Parses the result of {@link #toString}; empty if the text is malformed. */
    public static Optional<Fingerprint> parse(String text) {
        if (text == null
                || text.length() != 2 * HEX_DIGITS + 1
                || text.charAt(HEX_DIGITS) != SEPARATOR) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new Fingerprint(
                            HexFormat.fromHexDigitsToLong(text, 0, HEX_DIGITS),
                            HexFormat.fromHexDigitsToLong(text, HEX_DIGITS + 1, text.length())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return HEX.toHexDigits(head) + SEPARATOR + HEX.toHexDigits(body);
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Fingerprint that && head == that.head && body == that.body;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(head) + Long.hashCode(body);
    }
}
