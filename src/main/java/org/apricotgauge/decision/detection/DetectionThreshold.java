package org.apricotgauge.decision.detection;

import org.apricotgauge.model.DetectionOdds;

/**
 * Computes the threshold of the sequential tests from the operator's two odds: the relative costs
 * of a false ejection and of a second of delay.
 *
 * <p>With faults at rate L per target-second, a false ejection of cost F, a second of delay of cost
 * D, and evidence of I nats per request at r requests per second, Page's test with threshold h
 * costs about F r exp(-h) + L D h / (I r) per second. The cost is lowest at exp(h) = (F / D) I r^2
 * / L (Page 1954; Lorden 1971; Moustakides 1986). So the mean time between false ejections of a
 * target is (F / D) I r / L seconds, and only its logarithm adds to the delay.
 */
public final class DetectionThreshold {
    /** Assumed gray failures per target-second: 110 of 7,100 VMs on an ordinary day. */
    static final double FAULTS_PER_TARGET_SECOND = 110.0 / 7_100 / 86_400;

    /** Assumed evidence, in nats per request; only its logarithm affects the threshold. */
    private static final double NATS_PER_REQUEST = 1;

    /**
     * A target is falsely ejected at most once in 5,000 hours, whatever the odds and however low
     * the traffic; ten times fewer false ejections cost only 2.3 nats.
     */
    private static final double MIN_FALSE_EJECTION_SECONDS = 5_000 * 3_600.0;

    private static final double MIN_NATS = 8;
    private static final double MAX_NATS = 45;

    private DetectionThreshold() {}

    /**
     * Returns the mean time between false ejections of one target that the odds require, in
     * seconds.
     */
    public static double falseEjectionSeconds(DetectionOdds odds, double requestsPerSecond) {
        double seconds =
                odds.falseEjectionCost()
                        / odds.delayCostPerSecond()
                        * NATS_PER_REQUEST
                        * requestsPerSecond
                        / FAULTS_PER_TARGET_SECOND;
        return Math.max(MIN_FALSE_EJECTION_SECONDS, seconds);
    }

    /**
     * Returns the threshold in nats.
     *
     * @param odds the two odds
     * @param requestsPerSecond requests per second that one target gets
     * @param tests number of tests that run in parallel on a target; each gets an equal part of the
     *     false ejections
     */
    static double nats(DetectionOdds odds, double requestsPerSecond, int tests) {
        double samples = falseEjectionSeconds(odds, requestsPerSecond) * requestsPerSecond;
        return Math.max(MIN_NATS, Math.min(MAX_NATS, Math.log(samples * tests)));
    }
}
