package org.apricotgauge.decision.attempt;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;

/**
 * Generates the attempt identifiers of one entry process.
 *
 * <pre>{@code
 * AttemptIdGenerator ids = new AttemptIdGenerator("node-17", secureRandom.nextLong());
 * AttemptId first = ids.next();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class AttemptIdGenerator {
    private final String mEntryNode;
    private final long mIncarnation;
    private final AtomicLong mCounter = new AtomicLong();

    /**
     * Creates the generator of one process.
     *
     * @param entryNode identifier of the entry node
     * @param incarnation random number drawn when the process started
     */
    public AttemptIdGenerator(String entryNode, long incarnation) {
        mEntryNode = Checks.id("entryNode", entryNode);
        mIncarnation = incarnation;
    }

    /** Returns an identifier that was never returned before. */
    public AttemptId next() {
        return new AttemptId(mEntryNode, mIncarnation, mCounter.getAndIncrement());
    }
}
