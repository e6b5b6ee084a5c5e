package org.apricotgauge.decision.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;

/**
 * The hash of a request's body, filled as the body goes by.
 *
 * <pre>{@code
 * hash.update(bytes);
 * hash.end();
 * long body = hash.value();
 * }</pre>
 *
 * <p>Only the first {@link #MAX_HASHED_BYTES} count, so that a request can be recognised before the
 * rest of a long body has come. Thread-safe.
 */
public final class BodyHash {
    /** Bytes of a body that tell it from others. */
    public static final int MAX_HASHED_BYTES = 16_384;

    private MessageDigest mDigest;
    private int mHashedBytes;
    private boolean mIsComplete;
    private long mValue = Fingerprint.UNKNOWN_BODY;

    /** Takes in the next bytes; the buffer's position stays. */
    public synchronized void update(ByteBuffer bytes) {
        int taken = Math.min(bytes.remaining(), MAX_HASHED_BYTES - mHashedBytes);
        if (taken <= 0 || mIsComplete) {
            return;
        }
        if (mDigest == null) {
            mDigest = Sha256.create();
        }
        mDigest.update(bytes.slice(bytes.position(), taken));
        mHashedBytes += taken;
        if (mHashedBytes == MAX_HASHED_BYTES) {
            complete();
        }
    }

    /** Notes that the body has ended. */
    public synchronized void end() {
        if (!mIsComplete) {
            complete();
        }
    }

    private void complete() {
        mIsComplete = true;
        mValue = mHashedBytes == 0 ? Fingerprint.NO_BODY : Sha256.firstLong(mDigest);
    }

    /** Returns whether enough of the body has been taken in. */
    public synchronized boolean isComplete() {
        return mIsComplete;
    }

    /** Returns the hash; {@link Fingerprint#UNKNOWN_BODY} while too little has been taken in. */
    public synchronized long value() {
        return mValue;
    }
}
