package org.apricotgauge.bench.policy;

import java.util.List;

/**
 * What one episode came to.
 *
 * @param detectionMillis time from the fault's beginning to the ejection, for each sick target that
 *     the floor allows to eject; the cap where it was not ejected
 * @param missed how many of these were not ejected
 * @param falseEjections ejections of targets that were healthy
 * @param healthyTargetHours time that healthy targets stood under judgement
 */
record EpisodeResult(
        List<Long> detectionMillis, int missed, int falseEjections, double healthyTargetHours) {}
