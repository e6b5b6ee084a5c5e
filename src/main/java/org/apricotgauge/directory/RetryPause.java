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
final class RetryPause {
    /** The first pause, in milliseconds. */
    static final long FIRST_MILLIS = 300;

    /** The longest pause of a node that reads for others, in milliseconds. */
    static final long LONGEST_MILLIS = 600;

    /** What each node of the site adds to the pause of one that reads for none, in milliseconds. */
    static final long A_NODE_MILLIS = 25;

    private final RandomGenerator mRandom;
    private long mPauseMillis;

    RetryPause(RandomGenerator random) {
        mRandom = Checks.notNull("random", random);
    }

    /** Begins anew: the platform answered. */
    void reset() {
        mPauseMillis = 0;
    }

    /** Returns the next pause, in milliseconds. */
    long nextMillis(ReaderTree tree) {
        if (!tree.isFirst()) {
            long meanMillis = tree.nodes() * A_NODE_MILLIS;
            return FIRST_MILLIS + mRandom.nextLong(2 * meanMillis + 1);
        }
        mPauseMillis =
                mPauseMillis == 0
                        ? FIRST_MILLIS
                        : Math.min(LONGEST_MILLIS, mPauseMillis + FIRST_MILLIS / 2);
        return mPauseMillis;
    }
}
