/**
 * Retries of a service whose targets shed requests: who gets one, who waits for one, and when a
 * refused caller may come back.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. docs/design/returns.md explains the
 * design.
 */
package org.apricotgauge.decision.retry;
