package org.apricotgauge.decision.attempt;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Who a guard is and what its own clock reads; sent with every answer of the guard.
 *
 * <pre>{@code
 * response.setHeader(GuardStamp.HEADER, ledger.stamp(ticker.millis()).toString());
 * }</pre>
 *
 * @param incarnation random number that the guard drew when its process started
 * @param guardMillis reading of the guard's monotonic clock; means something to this guard only
 */
public record GuardStamp(long incarnation, long guardMillis) {
    /** Header that carries the stamp in each answer of a guard. */
    public static final String HEADER = "Apricotgauge-Guard";

    private static final Pattern TEXT = Pattern.compile("([0-9a-f]{1,16}):(-?[0-9]{1,18})");
    private static final int HEX = 16;

    /** Returns the stamp that the text gives, or nothing if the text is malformed. */
    public static Optional<GuardStamp> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long incarnation = Long.parseUnsignedLong(matcher.group(1), HEX);
        return Optional.of(new GuardStamp(incarnation, Long.parseLong(matcher.group(2))));
    }

    /** Returns the text for the header: incarnation in hexadecimal, reading in milliseconds. */
    @Override
    public String toString() {
        return Long.toHexString(incarnation) + ':' + guardMillis;
    }
}
