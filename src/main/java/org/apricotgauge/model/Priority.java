package org.apricotgauge.model;

/** How long the callers of a route can wait; scarce slots go to the more urgent first. */
public enum Priority {
    /** A person stands waiting (a roster at the gate, a lookup that idles a brake operator). */
    URGENT,
    /** Ordinary work. */
    NORMAL,
    /** Patient work (browsing); served last, yet never starved. */
    PATIENT
}
