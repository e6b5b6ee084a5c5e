package org.apricotgauge.model;

import java.util.regex.Pattern;

/**
 * Checks of arguments, with messages that name the field and the value.
 *
 * <pre>{@code
 * Checks.inRange("slots", slots, 1, 10_000);
 * }</pre>
 */
public final class Checks {
    private static final int MAX_ID_CHARS = 128;
    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IP_NUMBER = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

    private Checks() {}

    /**
     * Returns the identifier if it is well formed.
     *
     * @throws IllegalArgumentException if it is null, empty, longer than 128 characters, or holds
     *     anything but letters, digits, dot, underscore and hyphen
     */
    public static String id(String field, String value) {
        if (value == null || !isId(value)) {
            throw new IllegalArgumentException(
                    field
                            + " must be 1 to 128 letters, digits, '.', '_' or '-', was "
                            + quote(value));
        }
        return value;
    }

    /** Returns whether {@link #id} takes the text. */
    public static boolean isId(String text) {
        int length = text.length();
        if (length == 0 || length > MAX_ID_CHARS || !isLetterOrDigit(text.charAt(0))) {
            return false;
        }
        for (int i = 1; i < length; i++) {
            char c = text.charAt(i);
            if (!isLetterOrDigit(c) && c != '.' && c != '_' && c != '-') {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z');
    }

    /**
     * Returns the text if it is neither null nor blank.
     *
     * @throws IllegalArgumentException otherwise
     */
    public static String notBlank(String field, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(field + " must not be blank, was " + quote(value));
        }
        return value;
    }

    /**
     * Returns the object if it is not null.
     *
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T notNull(String field, T value) {
        if (value == null) {
            throw new IllegalArgumentException(field + " must be given");
        }
        return value;
    }

    /**
     * Returns the number if it lies in the closed range.
     *
     * @throws IllegalArgumentException otherwise
     */
    public static long inRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    field + " must be from " + min + " to " + max + ", was " + value);
        }
        return value;
    }

    /**
     * Returns the number if it is finite and lies in the closed range.
     *
     * @throws IllegalArgumentException otherwise
     */
    public static double inRange(String field, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(
                    field + " must be from " + min + " to " + max + ", was " + value);
        }
        return value;
    }

    /**
     * Returns the TCP port if it is from 1 to 65,535.
     *
     * @throws IllegalArgumentException otherwise
     */
    public static int port(String field, int value) {
        return (int) inRange(field, value, 1, MAX_PORT);
    }

    /**
     * Returns the IPv4 number if it is one, as four decimal numbers.
     *
     * @throws IllegalArgumentException if it is null, a host name, or anything else
     */
    public static String ipNumber(String field, String value) {
        if (value == null || !IP_NUMBER.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field + " must be an IP number, was " + quote(value));
        }
        return value;
    }

    private static String quote(String value) {
        return value == null ? "null" : '"' + value + '"';
    }
}
