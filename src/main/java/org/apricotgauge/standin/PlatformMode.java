package org.apricotgauge.standin;

/** How the stand-in of the platform behaves. */
public enum PlatformMode {
    /** Answers at once with what is newest. */
    UP,
    /** Answers late, with what is newest. */
    SLOW,
    /** Answers every call with 503. */
    DOWN,
    /** Answers with what was newest when the mode was set. */
    STALE,
    /** Answers every other call with what was newest when the mode was set. */
    FLAPPING
}
