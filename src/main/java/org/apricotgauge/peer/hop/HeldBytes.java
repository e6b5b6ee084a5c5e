package org.apricotgauge.peer.hop;

import java.util.concurrent.atomic.AtomicLong;

/** Counts and bounds the bytes of all answers that are read ahead. Thread-safe. */
final class HeldBytes {
    /** Beyond it, answers are read no faster than their callers read them. */
    static final long MAX_BYTES = 8_388_608;

    private final AtomicLong mCount = new AtomicLong();

    long count() {
        return mCount.get();
    }

    boolean isFull() {
        return mCount.get() >= MAX_BYTES;
    }

    void add(long bytes) {
        mCount.addAndGet(bytes);
    }
}
