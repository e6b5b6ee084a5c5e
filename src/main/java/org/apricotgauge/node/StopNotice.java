package org.apricotgauge.node;

import org.apricotgauge.model.Checks;

/**
 * Tells a peer that a guard's process ends; the sender's host is the guard's.
 *
 * @param incarnation incarnation of the guard, as in its stamp
 * @param remainingMillis time until its end at the latest
 * @param guardPort port of the guard
 */
record StopNotice(long incarnation, long remainingMillis, int guardPort) {
    private static final int MAX_PORT = 65_535;

    StopNotice {
        Checks.inRange("remainingMillis", remainingMillis, 0, Integer.MAX_VALUE);
        Checks.inRange("guardPort", guardPort, 1, MAX_PORT);
    }
}
