package org.apricotgauge.decision.gossip;

/**
 * How far this node can trust its own judgement of others, after Lifeguard (DSN 2018).
 *
 * <p>A node that is itself starved hears every peer late. Without this it would accuse healthy
 * peers; with it, its own trouble lengthens its time limits up to {@code MAX_SCORE + 1} times.
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
