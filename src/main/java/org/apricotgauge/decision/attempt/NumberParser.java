package org.apricotgauge.decision.attempt;

/** Parses the bounded numbers in headers between nodes; each hop parses several. */
final class NumberParser {
    /** Every number of up to 18 decimal digits fits into 63 bits. */
    private static final int MAX_DECIMAL_DIGITS = 18;

    private static final int MAX_HEX_DIGITS = 16;
    private static final int HEX = 16;

    private NumberParser() {}

    /** Returns whether a range of a text is 1 to 16 lower-case hexadecimal digits. */
    static boolean isHex(String text, int from, int to) {
        if (to <= from || to - from > MAX_HEX_DIGITS) {
            return false;
        }
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (!isDigit(c) && (c < 'a' || c > 'f')) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a range of a text is 1 to 18 decimal digits, optionally with a minus sign.
     */
    static boolean isDecimal(String text, int from, int to, boolean mayBeNegative) {
        int first = mayBeNegative && from < to && text.charAt(from) == '-' ? from + 1 : from;
        if (to <= first || to - first > MAX_DECIMAL_DIGITS) {
            return false;
        }
        for (int i = first; i < to; i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    /** Parses a range of a text for which {@link #isHex} returns true. */
    static long parseHex(String text, int from, int to) {
        return Long.parseUnsignedLong(text, from, to, HEX);
    }
}
