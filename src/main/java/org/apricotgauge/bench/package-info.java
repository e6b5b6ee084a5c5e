/** Programs that measure; each has a launcher named after it in {@code bin}. */
package org.apricotgauge.bench;
