package org.apricotgauge.decision.attempt;

import java.util.Optional;

/**
 * A guard's incarnation and a reading of its clock; sent with every answer of the guard.
 *
 * <pre>{@code
 * response.setHeader(GuardStamp.HEADER, ledger.stamp(ticker.millis()).toString());
 * }</pre>
 *
 * @param incarnation random number that the guard drew when its process started
 * @param guardMillis reading of the guard's monotonic clock; comparable only with its own readings
 */
public record GuardStamp(long incarnation, long guardMillis) {
    /** Header that carries the stamp in each answer of a guard. */
    public static final String HEADER = "Apricotgauge-Guard";

    private static final char SEPARATOR = ':';
    private static final int DECIMAL = 10;

    /** Parses the text of the header; returns empty if it is malformed. */
    public static Optional<GuardStamp> parse(String text) {
        int incarnationEnd = text.indexOf(SEPARATOR);
        if (!NumberParser.isHex(text, 0, incarnationEnd)
                || !NumberParser.isDecimal(text, incarnationEnd + 1, text.length(), true)) {
            return Optional.empty();
        }
        return Optional.of(
                new GuardStamp(
                        NumberParser.parseHex(text, 0, incarnationEnd),
                        Long.parseLong(text, incarnationEnd + 1, text.length(), DECIMAL)));
    }

    /** Returns the header's text: incarnation in hexadecimal, clock reading in milliseconds. */
    @Override
    public String toString() {
        return Long.toHexString(incarnation) + SEPARATOR + guardMillis;
    }
}
