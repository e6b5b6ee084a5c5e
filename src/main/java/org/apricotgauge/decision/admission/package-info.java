/**
 * Admission control of one target: how many requests run at once, which ones queue or are rejected,
 * and in what order queued requests are served.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. docs/design/admission.md explains the
 * design.
 */
package org.apricotgauge.decision.admission;
