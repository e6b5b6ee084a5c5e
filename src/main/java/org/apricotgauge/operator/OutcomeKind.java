package org.apricotgauge.operator;

/** What {@link OutcomeWindows} counts. */
public enum OutcomeKind {
    /** A target answered without a server error. */
    ANSWERED,
    /** A target answered with a server error. */
    FAILED,
    /** The caller was told that the request was not run. */
    NOT_RUN,
    /** The caller was told that it is unknown whether the request was run. */
    UNKNOWN,
    /** A target was ejected. */
    EJECTED
}
