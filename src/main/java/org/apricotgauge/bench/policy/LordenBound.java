package org.apricotgauge.bench.policy;

import org.apricotgauge.decision.detection.DetectionThreshold;

/**
 * The least mean detection delay of any test with a given false alarm rate (Lorden 1971).
 *
 * <p>In samples it is the logarithm of the mean number of samples between false alarms over the
 * Kullback-Leibler divergence of the sick law from the healthy one, both of which the test would
 * have to know beforehand. It holds as the false alarm rate goes to 0; for a divergence as large as
 * the logarithm it says less than one sample, which no test can meet.
 */
final class LordenBound {
    private LordenBound() {}

    /** Returns the bound in seconds at the peak rate, or 0 where the fault is not stationary. */
    static double seconds(SimulatedPool pool, Fault fault) {
        if (fault.stationary() == null) {
            return 0;
        }
        double rate = pool.peakRatePerSecond();
        double samples = DetectionThreshold.falseEjectionSeconds(pool.odds(), rate) * rate;
        return Math.log(samples) / fault.stationary().divergence() / rate;
    }
}
