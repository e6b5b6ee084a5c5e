package org.apricotgauge.decision.detection;

import java.util.Locale;

/**
 * The strongest evidence against a target in one view.
 *
 * @param test index of the test in {@link AlternativeHypothesis#ALL}
 * @param nats its statistic
 * @param thresholdNats the statistic at which the target is ejected
 * @param natsPerSample its evidence per sample, which shows how degraded the target is
 */
record Finding(int test, double nats, double thresholdNats, double natsPerSample) {

    static Finding none(double thresholdNats) {
        return new Finding(0, 0, thresholdNats, 0);
    }

    boolean isAlarm() {
        return nats >= thresholdNats;
    }

    double thresholdRatio() {
        return nats / thresholdNats;
    }

    String text(String source) {
        return String.format(
                Locale.ROOT,
                "%s: %s, %.1f nats of %.1f",
                source,
                AlternativeHypothesis.ALL.get(test).name(),
                nats,
                thresholdNats);
    }
}
