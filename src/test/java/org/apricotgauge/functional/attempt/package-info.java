/** Stateful fuzz of caller, entry, guard and target over the real state machines of an attempt. */
package org.apricotgauge.functional.attempt;
