/** Measurements: programs that print the figures of docs/measurements, deterministic by seed. */
package org.apricotgauge.bench;
