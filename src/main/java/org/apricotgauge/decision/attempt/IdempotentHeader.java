package org.apricotgauge.decision.attempt;

/** What the caller says of one request, in the header {@value #HEADER}. */
public enum IdempotentHeader {
    /** The header is absent or malformed. */
    ABSENT,
    /** The caller says that the request may run more than once. */
    YES,
    /** The caller says that the request must not run more than once. */
    NO;

    /** Request header; "?1" or "yes" allows repetition, "?0" or "no" forbids it. */
    public static final String HEADER = "Apricotgauge-Repeatable";

    /** Returns what the header's value says; null stands for no header. */
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
