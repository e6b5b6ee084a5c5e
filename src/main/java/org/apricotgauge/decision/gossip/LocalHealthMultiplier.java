package org.apricotgauge.decision.gossip;

/**
 * Scales timeouts by the health of the local node, as in Lifeguard (DSN 2018).
 *
 * <p>A node that is itself starved of resources receives messages of all peers late. Without this
 * multiplier it would suspect healthy peers; with it, its own failures extend its timeouts by up to
 * {@code MAX_SCORE + 1} times.
 */
final class LocalHealthMultiplier {
    private static final int MAX_SCORE = 4;

    private int mScore;

    void onFailure() {
        mScore = Math.min(MAX_SCORE, mScore + 1);
    }

    void onSuccess() {
        mScore = Math.max(0, mScore - 1);
    }

    long scale(long millis) {
        return millis * (1 + mScore);
    }
}
