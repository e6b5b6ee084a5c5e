/**
 * Decisions without I/O: they take observations and a time, and return values.
 *
 * <p>Each can be fuzzed and measured without a socket.
 */
package org.apricotgauge.decision;
