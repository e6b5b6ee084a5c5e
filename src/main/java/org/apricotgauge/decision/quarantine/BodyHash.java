package org.apricotgauge.decision.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;

/**
 * Computes the hash of a request's body while the body is read.
 *
 * <pre>{@code
 * hash.update(bytes);
 * hash.end();
 * long body = hash.value();
 * }</pre>
 *
 * <p>Only the first {@link #MAX_HASHED_BYTES} bytes are hashed, so that a request is identified
 * before the rest of a long body has arrived. Thread-safe.
 */
public final class BodyHash {
    /** Maximum number of bytes of a body that are hashed. */
    public static final int MAX_HASHED_BYTES = 16_384;

    private MessageDigest mDigest;
    private int mHashedBytes;
    private boolean mIsComplete;
    private long mValue = Fingerprint.UNKNOWN_BODY;

    /** Adds the next bytes; the buffer's position does not change. */
    public synchronized void update(ByteBuffer bytes) {
        int length = Math.min(bytes.remaining(), MAX_HASHED_BYTES - mHashedBytes);
        if (length <= 0 || mIsComplete) {
            return;
        }
        if (mDigest == null) {
            mDigest = Sha256.create();
        }
        mDigest.update(bytes.slice(bytes.position(), length));
        mHashedBytes += length;
        if (mHashedBytes == MAX_HASHED_BYTES) {
            complete();
        }
    }

    /** Marks the end of the body. */
    public synchronized void end() {
        if (!mIsComplete) {
            complete();
        }
    }

    private void complete() {
        mIsComplete = true;
        mValue = mHashedBytes == 0 ? Fingerprint.NO_BODY : Sha256.firstLong(mDigest);
    }

    /** Returns whether the hash is final. */
    public synchronized boolean isComplete() {
        return mIsComplete;
    }

    /** Returns the hash; {@link Fingerprint#UNKNOWN_BODY} until it is final. */
    public synchronized long value() {
        return mValue;
    }
}
