package org.apricotgauge.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.Ticker;

/**
 * Finds out when a target stopped getting work after it fell ill.
 *
 * <p>Samples how often work ran; the target counts as relieved at the first sample after which, for
 * the rest of the watch, it ran at no more than a twentieth of its rate before the fault, or 1.5 a
 * second: one request a second goes on trying whether the target is well again.
 */
final class GrayWatch {
    private static final double RESIDUAL_SHARE = 0.05;
    private static final double RESIDUAL_PER_SECOND = 1.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final TargetAdmin mAdmin;
    private final Address mTarget;
    private final Ticker mTicker;
    private final List<Sample> mSamples = new ArrayList<>();

    private record Sample(long atMillis, long runs) {}

    GrayWatch(TargetAdmin admin, Address target, Ticker ticker) {
        mAdmin = admin;
        mTarget = target;
        mTicker = ticker;
    }

    void sample() throws IOException, InterruptedException {
        mSamples.add(new Sample(mTicker.millis(), mAdmin.stats(mTarget).runs()));
    }

    /**
     * Returns the seconds from the fault until the target was relieved; nothing if it never was.
     *
     * @param faultMillis reading of the ticker at which the fault was switched on
     */
    OptionalDouble secondsToRelief(long faultMillis) {
        double ratePerMilli = rateBefore(faultMillis);
        Sample last = mSamples.get(mSamples.size() - 1);
        for (Sample sample : mSamples) {
            long restMillis = last.atMillis() - sample.atMillis();
            if (sample.atMillis() < faultMillis || restMillis == 0) {
                continue;
            }
            double restRate = (double) (last.runs() - sample.runs()) / restMillis;
            double residual =
                    Math.max(
                            ratePerMilli * RESIDUAL_SHARE, RESIDUAL_PER_SECOND / MILLIS_PER_SECOND);
            if (restRate <= residual) {
                return OptionalDouble.of((sample.atMillis() - faultMillis) / MILLIS_PER_SECOND);
            }
        }
        return OptionalDouble.empty();
    }

    private double rateBefore(long faultMillis) {
        Sample first = mSamples.get(0);
        Sample atFault = first;
        for (Sample sample : mSamples) {
            if (sample.atMillis() <= faultMillis) {
                atFault = sample;
            }
        }
        long spanMillis = Math.max(1, atFault.atMillis() - first.atMillis());
        return (double) (atFault.runs() - first.runs()) / spanMillis;
    }
}
