package org.apricotgauge.decision.attempt;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * Identifier of an attempt, unique across the fleet and over time.
 *
 * <pre>{@code
 * AttemptId id = new AttemptId("node-17", 0x5f3aL, 42);
 * id.toString(); // "node-17:5f3a:42"
 * }</pre>
 *
 * @param entryNode identifier of the entry node
 * @param entryIncarnation random number that the entry drew when its process started
 * @param counter sequence number within the incarnation
 */
public record AttemptId(String entryNode, long entryIncarnation, long counter) {
    private static final char SEPARATOR = ':';
    private static final int DECIMAL = 10;

    public AttemptId {
        Checks.id("entryNode", entryNode);
        Checks.inRange("counter", counter, 0, Long.MAX_VALUE);
    }

    /** Parses an identifier; returns empty if the text is malformed. */
    public static Optional<AttemptId> parse(String text) {
        int nodeEnd = text.indexOf(SEPARATOR);
        int incarnationEnd = text.indexOf(SEPARATOR, nodeEnd + 1);
        if (nodeEnd < 0
                || !NumberParser.isHex(text, nodeEnd + 1, incarnationEnd)
                || !NumberParser.isDecimal(text, incarnationEnd + 1, text.length(), false)) {
            return Optional.empty();
        }
        String node = text.substring(0, nodeEnd);
        if (!Checks.isId(node)) {
            return Optional.empty();
        }
        return Optional.of(
                new AttemptId(
                        node,
                        NumberParser.parseHex(text, nodeEnd + 1, incarnationEnd),
                        Long.parseLong(text, incarnationEnd + 1, text.length(), DECIMAL)));
    }

    /** Returns the text used in headers: node, incarnation in hexadecimal, counter. */
    @Override
    public String toString() {
        return entryNode + SEPARATOR + Long.toHexString(entryIncarnation) + SEPARATOR + counter;
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId that
                && counter == that.counter
                && entryIncarnation == that.entryIncarnation
                && entryNode.equals(that.entryNode);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * entryNode.hashCode() + Long.hashCode(entryIncarnation))
                + Long.hashCode(counter);
    }
}
