package org.apricotgauge.directory;

import java.util.random.RandomGenerator;
import org.apricotgauge.model.Checks;

/**
 * Computes the delay between two attempts to reach a platform that does not answer.
 *
 * <p>The nodes that read for their failure domain retry at a fixed rate, so that they detect the
 * platform's recovery soon however long the outage was. The delay of all others grows with the
 * number of nodes: retries of every node at the fixed rate would keep an overloaded platform
 * overloaded.
 */
final class RetryBackoff {
    /** The first delay, in milliseconds. */
    static final long INITIAL_MILLIS = 300;

    /** The longest delay of a node that reads for others, in milliseconds. */
    static final long MAX_MILLIS = 600;

    /** Mean delay added per node of the site, for a node that reads for no others, in ms. */
    static final long MILLIS_PER_NODE = 25;

    private final RandomGenerator mRandom;
    private long mDelayMillis;

    RetryBackoff(RandomGenerator random) {
        mRandom = Checks.notNull("random", random);
    }

    /** Restarts with the first delay; called when the platform answered. */
    void reset() {
        mDelayMillis = 0;
    }

    /** Returns the next delay, in milliseconds. */
    long nextMillis(ReaderTree tree) {
        if (!tree.probesPlatform()) {
            long meanMillis = tree.nodeCount() * MILLIS_PER_NODE;
            return INITIAL_MILLIS + mRandom.nextLong(2 * meanMillis + 1);
        }
        mDelayMillis =
                mDelayMillis == 0
                        ? INITIAL_MILLIS
                        : Math.min(MAX_MILLIS, mDelayMillis + INITIAL_MILLIS / 2);
        return mDelayMillis;
    }
}
