/**
 * Detection of gray failures and ejection of targets, as pure decision logic.
 *
 * <p>Callers pass in observations and the time and get immutable verdicts; nothing here opens a
 * socket, reads a clock or starts a thread. The entry point is {@link
 * org.apricotgauge.decision.detection.ServiceDetector}.
 */
package org.apricotgauge.decision.detection;
