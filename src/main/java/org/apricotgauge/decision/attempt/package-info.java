/**
 * State machines of one attempt: what may be sent again, what ran, and what a caller may be told.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. The safety argument stands in
 * docs/design/at-most-once.md.
 */
package org.apricotgauge.decision.attempt;
