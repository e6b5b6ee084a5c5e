/**
 * State machines for attempts: which may be retried, which have run, and which outcome is reported.
 *
 * <p>Nothing in this package does I/O, reads a clock or starts a thread. The safety argument is in
 * docs/design/at-most-once.md.
 */
package org.apricotgauge.decision.attempt;
