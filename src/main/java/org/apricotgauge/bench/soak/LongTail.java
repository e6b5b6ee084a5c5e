package org.apricotgauge.bench.soak;

import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;

/**
 * A log-normal distribution within bounds: most values near the median, few far above it.
 *
 * <pre>{@code
 * int millis = new LongTail(20, 600, 3_600, 1).draw(random);
 * }</pre>
 *
 * @param min smallest value
 * @param median median of the distribution without its bounds
 * @param max greatest value
 * @param spread standard deviation of the values' natural logarithm
 */
record LongTail(int min, int median, int max, double spread) {
    LongTail {
        Checks.inRange("min", min, 1, median);
        Checks.inRange("max", max, median, Integer.MAX_VALUE);
        Checks.inRange("spread", spread, 0, 2);
    }

    /** Draws values until one is within the bounds, so that no value piles up at a bound. */
    int draw(SplittableRandom random) {
        double value = 0;
        while (value < min || value > max) {
            value = median * Math.exp(spread * random.nextGaussian());
        }
        return (int) value;
    }
}
