package org.apricotgauge.decision.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The hash that fingerprints are made of; nobody can find a second request with the same one. */
final class Sha256 {
    private Sha256() {}

    /** Returns a digest to be filled. */
    static MessageDigest create() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the first eight bytes of the hash. */
    static long firstLong(MessageDigest digest) {
        return ByteBuffer.wrap(digest.digest()).getLong();
    }
}
