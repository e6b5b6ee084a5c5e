/**
 * Decision logic without I/O: takes observations and the time, and returns values.
 *
 * <p>Each class can be fuzzed and measured without a socket.
 */
package org.apricotgauge.decision;
