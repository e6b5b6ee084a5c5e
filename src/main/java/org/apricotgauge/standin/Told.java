package org.apricotgauge.standin;

/** What a caller was told of one request. */
public enum Told {
    /** A whole, right answer of the target. */
    ANSWERED,
    /** An answer with an error status of the target. */
    TARGET_ERROR,
    /** "Not run", with proof. */
    NOT_RUN,
    /** "Unknown". */
    UNKNOWN,
    /** The connection broke, or no answer came in time; the caller knows nothing. */
    BROKEN,
    /** An answer to another request, or half of one passed off as whole. */
    WRONG,
    /** The request itself was refused (4xx). */
    REFUSED
}
