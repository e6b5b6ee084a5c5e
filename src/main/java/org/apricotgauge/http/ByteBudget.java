package org.apricotgauge.http;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;

/**
 * Bounds the bytes that a node holds for one purpose.
 *
 * <pre>{@code
 * if (budget.tryReserve(bytes)) {
 *     try { … } finally { budget.release(bytes); }
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ByteBudget {
    private final long mMaxBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maxBytes most bytes that may be reserved at a time, not negative
     */
    public ByteBudget(long maxBytes) {
        mMaxBytes = Checks.inRange("maxBytes", maxBytes, 0, Long.MAX_VALUE);
    }

    /** Reserves bytes; returns false, and reserves nothing, if the budget doesn't allow it. */
    public boolean tryReserve(long bytes) {
        Checks.inRange("bytes", bytes, 0, Long.MAX_VALUE);
        if (mReservedBytes.addAndGet(bytes) <= mMaxBytes) {
            return true;
        }
        mReservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Gives back bytes that were reserved. */
    public void release(long bytes) {
        mReservedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }
}
