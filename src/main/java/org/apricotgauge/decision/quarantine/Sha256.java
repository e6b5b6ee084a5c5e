package org.apricotgauge.decision.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The hash of fingerprints; a second request with the same hash cannot feasibly be found. */
final class Sha256 {
    private Sha256() {}

    /** Returns an empty digest. */
    static MessageDigest create() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }

    /** Returns the first eight bytes of the hash. */
    static long firstLong(MessageDigest digest) {
        return ByteBuffer.wrap(digest.digest()).getLong();
    }
}
