package org.apricotgauge.model;

import java.math.BigDecimal;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * How many requests a second a target says that it takes from all nodes together.
 *
 * <pre>{@code
 * StartLimit limit = StartLimit.parse(List.of("2.7"));   // 2.7 a second
 * }</pre>
 *
 * @param perSecond requests in a second, finite and not negative
 */
public record StartLimit(double perSecond) {
    /**
     * Least requests a second of a limited target: only an answer tells that a limit is lifted, and
     * a target that gets nothing gives none.
     */
    private static final double LEAST_PER_SECOND = 1.0 / 6;

    /** Checks the parts. */
    public StartLimit {
        Checks.inRange("limit.perSecond", perSecond, 0, Double.MAX_VALUE);
    }

    /**
     * Reads a limit; of several the lowest holds.
     *
     * @param values decimal numbers, at least one
     * @throws IllegalArgumentException naming what is no decimal number
     */
    public static StartLimit parse(List<String> values) {
        return values.stream()
                .map(StartLimit::parse)
                .min(Comparator.comparingDouble(StartLimit::perSecond))
                .orElseThrow();
    }

    /** Reads what another node wrote; nothing if it wrote nothing, or nothing that reads. */
    public static Optional<StartLimit> parseOrNone(String text) {
        try {
            return Optional.ofNullable(text).map(StartLimit::parse);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the text that {@link #parse} reads. */
    public String toText() {
        return BigDecimal.valueOf(perSecond).toPlainString();
    }

    // What Java reads as a number beside these, as 1e3, 0x1p3 or NaN, is none to who writes it.
    private static StartLimit parse(String value) {
        String text = value.strip();
        boolean isDecimal = text.chars().allMatch(one -> one == '.' || (one >= '0' && one <= '9'));
        if (!isDecimal) {
            throw new IllegalArgumentException("limit must be a decimal number, was " + value);
        }
        return new StartLimit(Double.parseDouble(text));
    }

    /** Returns how many requests a second are sent under the limit; more than 0. */
    public double keptPerSecond() {
        return Math.max(LEAST_PER_SECOND, perSecond);
    }
}
