package org.apricotgauge.bench.policy;

/**
 * The least mean detection delay of any test with a given false alarm rate (Lorden 1971).
 *
 * <p>In samples it is the logarithm of the mean number of samples between false alarms over the
 * Kullback-Leibler divergence of the sick law from the healthy one, both of which the test would
 * have to know beforehand. It holds as the false alarm rate goes to 0; for a divergence as large as
 * the logarithm it says less than one sample, which no test can meet.
 */
final class LordenBound {
    /** Gray faults per target-second that the thresholds take as given: 110 of 7,100 VMs a day. */
    private static final double FAULTS_PER_TARGET_SECOND = 110.0 / 7_100 / 86_400;

    private LordenBound() {}

    /** Returns the bound in seconds at the peak rate, or 0 where the fault is not stationary. */
    static double seconds(SimulatedPool pool, Fault fault) {
        if (fault.stationary() == null) {
            return 0;
        }
        double rate = pool.peakRatePerSecond();
        double samples =
                pool.odds().falseEjectionCost()
                        / pool.odds().delayCostPerSecond()
                        * rate
                        * rate
                        / FAULTS_PER_TARGET_SECOND;
        return Math.log(samples) / fault.stationary().divergence() / rate;
    }
}
