/** Measurements: programs that print figures, by seed where they simulate. */
package org.apricotgauge.bench;
