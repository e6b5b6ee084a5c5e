package org.apricotgauge.decision.attempt;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotgauge.model.Checks;

/**
 * Names one attempt for ever: no two attempts of the fleet share an identifier.
 *
 * <pre>{@code
 * AttemptId id = new AttemptId("node-17", 0x5f3aL, 42);
 * id.toString(); // "node-17:5f3a:42"
 * }</pre>
 *
 * @param entryNode identifier of the entry node
 * @param entryIncarnation random number that the entry drew when its process started
 * @param counter counts up within the incarnation
 */
public record AttemptId(String entryNode, long entryIncarnation, long counter) {
    private static final Pattern TEXT =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,127}):([0-9a-f]{1,16}):([0-9]{1,18})");
    private static final int HEX = 16;

    /** Checks the parts. */
    public AttemptId {
        Checks.id("entryNode", entryNode);
        Checks.inRange("counter", counter, 0, Long.MAX_VALUE);
    }

    /** Returns the identifier that the text gives, or nothing if the text is malformed. */
    public static Optional<AttemptId> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long incarnation = Long.parseUnsignedLong(matcher.group(2), HEX);
        long counter = Long.parseLong(matcher.group(3));
        return Optional.of(new AttemptId(matcher.group(1), incarnation, counter));
    }

    /** Returns the text for a header: node, incarnation in hexadecimal, counter. */
    @Override
    public String toString() {
        return entryNode + ':' + Long.toHexString(entryIncarnation) + ':' + counter;
    }
}
