package org.apricotgauge.decision.detection;

/** The categories of an observation: one for each bin of service time, and one for failure. */
final class Category {
    /** A request that failed because of what the view tests. */
    static final int FAILURE = LatencyBins.COUNT;

    /** Number of categories. */
    static final int COUNT = LatencyBins.COUNT + 1;

    /** An observation that is no evidence for or against degradation. */
    static final int NONE = -1;

    private Category() {}

    /**
     * Returns the category of an observation.
     *
     * <p>A shed request is due to load and a cancelled one to the caller: counting either as a
     * failure would eject the targets that protect themselves, one after the other in an overload.
     */
    static int of(Observation observation) {
        switch (observation.outcome()) {
            case SUCCESS:
            case UNRESPONSIVE:
                return LatencyBins.bin(observation.serviceTimeMicros());
            case TARGET_ERROR:
            case TIMEOUT:
            case PATH_FAULT:
                return FAILURE;
            default:
                return NONE;
        }
    }
}
