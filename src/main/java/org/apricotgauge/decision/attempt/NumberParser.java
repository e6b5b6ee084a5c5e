package org.apricotgauge.decision.attempt;

/** Reads the bounded numbers that headers between nodes are made of; each hop reads several. */
final class NumberParser {
    /** Every number of so many decimal digits fits into 63 bits. */
    private static final int MAX_DECIMAL_DIGITS = 18;

    private static final int MAX_HEX_DIGITS = 16;
    private static final int HEX = 16;

    private NumberParser() {}

    /** Returns whether a part of a text is 1 to 16 lower-case hexadecimal digits. */
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

    /** Returns whether a part of a text is 1 to 18 decimal digits, with or without a minus sign. */
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

    /** Returns the number of a part for which {@link #isHex} holds. */
    static long parseHex(String text, int from, int to) {
        return Long.parseUnsignedLong(text, from, to, HEX);
    }
}
