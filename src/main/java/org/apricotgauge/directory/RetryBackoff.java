package org.apricotgauge.directory;

import java.util.random.RandomGenerator;
import org.apricotgauge.model.Checks;

/**
 * Pauses between two tries at a platform that does not answer.
 *
 * <p>The nodes that read for their failure domain go on trying at a steady pace, so that the
 * platform's return is seen soon whatever the length of its absence. All others wait the longer the
 * more nodes there are: tried by each node at that pace, a platform that is overloaded would be
 * kept so by the fleet.
 */
final class RetryBackoff {
    /** The first pause, in milliseconds. */
    static final long INITIAL_MILLIS = 300;

    /** The longest pause of a node that reads for others, in milliseconds. */
    static final long MAX_MILLIS = 600;

    /** What each node of the site adds to the pause of one that reads for none, in milliseconds. */
    static final long MILLIS_PER_NODE = 25;

    private final RandomGenerator mRandom;
    private long mDelayMillis;

    RetryBackoff(RandomGenerator random) {
        mRandom = Checks.notNull("random", random);
    }

    /** Begins anew: the platform answered. */
    void reset() {
        mDelayMillis = 0;
    }

    /** Returns the next pause, in milliseconds. */
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
