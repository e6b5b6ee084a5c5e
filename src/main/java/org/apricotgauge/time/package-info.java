/** Injected time: no decision reads a clock of its own, so that every test picks its own time. */
package org.apricotgauge.time;
