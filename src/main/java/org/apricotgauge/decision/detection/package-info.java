/**
 * Detection of gray failures and ejection of targets, as pure decisions.
 *
 * <p>Observations and a time come in, immutable verdicts come out; nothing here opens a socket,
 * reads a clock or starts a thread. Start at {@link
 * org.apricotgauge.decision.detection.ServiceDetector}.
 */
package org.apricotgauge.decision.detection;
