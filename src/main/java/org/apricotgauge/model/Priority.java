package org.apricotgauge.model;

/** How long the callers of a route can wait; scarce slots go to the more urgent first. */
public enum Priority {
    /** What the operator ranks above all else (a lot whose trucks wait at the gate). */
    CRITICAL,
    /** A person stands waiting (a roster at the gate, a lookup that idles a brake operator). */
    URGENT,
    /** Ordinary work. */
    NORMAL,
    /** Patient work (browsing). */
    PATIENT,
    /** Work that nobody waits for; served last, yet never starved. */
    BACKGROUND
}
