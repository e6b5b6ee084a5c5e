package org.apricotgauge.decision.admission;

/** How often something happened of late, with older times fading. Not thread-safe. */
final class RecentRate {
    /** Time in which what happened fades to 1/e, in milliseconds: about two rounds of the slots. */
    private static final double FADE_MILLIS = 1_500;

    private double mCount;
    private long mAtMillis;

    void count(long nowMillis) {
        fade(nowMillis);
        mCount++;
    }

    /** Returns the rate per millisecond. */
    double perMilli(long nowMillis) {
        fade(nowMillis);
        return mCount / FADE_MILLIS;
    }

    private void fade(long nowMillis) {
        double passedMillis = Math.max(0, nowMillis - mAtMillis);
        mCount *= Math.exp(-passedMillis / FADE_MILLIS);
        mAtMillis = Math.max(mAtMillis, nowMillis);
    }
}
