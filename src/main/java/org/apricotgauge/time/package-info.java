/** Injected clocks: decisions read no system clock, so that every test controls the time. */
package org.apricotgauge.time;
