package org.apricotgauge.decision.attempt;

/** The caller's statement in the header {@value #HEADER} whether a request is idempotent. */
public enum IdempotentHeader {
    /** The header is absent or malformed. */
    ABSENT,
    /** The request may run more than once. */
    YES,
    /** The request must not run more than once. */
    NO;

    /** Request header; "?1" or "yes" allows more than one run, "?0" or "no" forbids it. */
    public static final String HEADER = "Apricotgauge-Repeatable";

    /** Parses the header's value; null means that the header is absent. */
    public static IdempotentHeader parse(String value) {
        if (value == null) {
            return ABSENT;
        }
        return switch (value.strip()) {
            case "?1", "yes" -> YES;
            case "?0", "no" -> NO;
            default -> ABSENT;
        };
    }
}
