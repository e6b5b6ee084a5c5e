/**
 * Admission to one target: how many requests it gets, which wait, which are refused, in what order.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread; docs/design/admission.md gives the
 * reasons.
 */
package org.apricotgauge.decision.admission;
