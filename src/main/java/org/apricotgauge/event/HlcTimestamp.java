package org.apricotgauge.event;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotgauge.model.Checks;

/**
 * A reading of a hybrid logical clock.
 *
 * <pre>{@code
 * HlcTimestamp.parse("1733172000000.3").compareTo(other);
 * }</pre>
 *
 * <p>If one event can have caused another, its timestamp is the smaller one; the converse does not
 * hold. Source: Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014).
 *
 * @param millis greatest wall time heard of, in milliseconds since 1970 (the paper's {@code l})
 * @param logical counter within that millisecond (the paper's {@code c})
 */
public record HlcTimestamp(long millis, int logical) implements Comparable<HlcTimestamp> {
    private static final Comparator<HlcTimestamp> ORDER =
            Comparator.comparingLong(HlcTimestamp::millis).thenComparingInt(HlcTimestamp::logical);
    private static final int MAX_LOGICAL = 999_999_999;
    private static final Pattern TEXT = Pattern.compile("(\\d{1,18})\\.(\\d{1,9})");

    /** Checks the parts. */
    public HlcTimestamp {
        Checks.inRange("hlc.millis", millis, 0, Long.MAX_VALUE);
        Checks.inRange("hlc.logical", logical, 0, MAX_LOGICAL);
    }

    /**
     * Reads the form of {@link #toString}, as it travels in headers and messages.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static HlcTimestamp parse(String text) {
        Matcher matcher = TEXT.matcher(Checks.notNull("hlc", text));
        if (!matcher.matches()) {
            throw new IllegalArgumentException("hlc must be MILLIS.COUNTER, was \"" + text + '"');
        }
        return new HlcTimestamp(
                Long.parseLong(matcher.group(1)), Integer.parseInt(matcher.group(2)));
    }

    /** Returns the reading that follows this one, given the wall time. */
    HlcTimestamp next(long wallMillis) {
        if (wallMillis > millis) {
            return new HlcTimestamp(wallMillis, 0);
        }
        return logical < MAX_LOGICAL
                ? new HlcTimestamp(millis, logical + 1)
                : new HlcTimestamp(millis + 1, 0);
    }

    /** Returns the greater of this reading and another. */
    HlcTimestamp max(HlcTimestamp other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(HlcTimestamp other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return millis + "." + logical;
    }
}
