package org.apricotgauge.decision.detection;

/** The bins of service time, each a factor of the square root of two wide, from 250 us to 180 s. */
final class LatencyBins {
    /** Number of bins; the first and the last are open-ended. */
    static final int COUNT = 40;

    private static final double FIRST_EDGE_MICROS = 250;
    private static final double BINS_PER_NAT = 2 / Math.log(2);

    private LatencyBins() {}

    static int bin(long micros) {
        if (micros < FIRST_EDGE_MICROS) {
            return 0;
        }
        int bin = 1 + (int) (BINS_PER_NAT * Math.log(micros / FIRST_EDGE_MICROS));
        return Math.min(bin, COUNT - 1);
    }

    /** Returns the upper bound of a bin, in microseconds. */
    static long endMicros(int bin) {
        return (long) (FIRST_EDGE_MICROS * Math.exp(bin / BINS_PER_NAT));
    }
}
