package org.apricotgauge.operator.review;

/** What the fold would do with the patch. */
enum Verdict {
    /** It would take effect. */
    ACCEPTED,
    /** It would be refused as a whole. */
    REFUSED,
    /** Only a newer release can tell. */
    UNDECIDED
}
