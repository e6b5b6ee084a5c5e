package org.apricotgauge.decision.attempt;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;

/**
 * Hands out the attempt identifiers of one entry process.
 *
 * <pre>{@code
 * AttemptIds ids = new AttemptIds("node-17", secureRandom.nextLong());
 * AttemptId first = ids.next();
 * }</pre>
 *
 * <p>Safe to share between threads.
 */
public final class AttemptIdGenerator {
    private final String mEntryNode;
    private final long mIncarnation;
    private final AtomicLong mCounter = new AtomicLong();

    /** Takes the node's identifier and the random number of this run of its process. */
    public AttemptIdGenerator(String entryNode, long incarnation) {
        mEntryNode = Checks.id("entryNode", entryNode);
        mIncarnation = incarnation;
    }

    /** Returns an identifier never returned before. */
    public AttemptId next() {
        return new AttemptId(mEntryNode, mIncarnation, mCounter.getAndIncrement());
    }
}
