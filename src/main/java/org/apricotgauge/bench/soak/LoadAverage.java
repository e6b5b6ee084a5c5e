package org.apricotgauge.bench.soak;

import java.lang.management.ManagementFactory;

/** The machine's load average over one minute, at its highest. Thread-safe. */
final class LoadAverage {
    private double mMax;

    synchronized void sample() {
        mMax = Math.max(mMax, ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    synchronized double max() {
        return mMax;
    }
}
