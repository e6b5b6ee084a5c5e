package org.apricotgauge.decision.attempt;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * Attempt addressed to one incarnation of one guard; starts only there, and not after its latest
 * start.
 *
 * <pre>{@code
 * request.headers(fields -> fields.put(Attempt.HEADER, attempt.toString()));
 * Optional<Attempt> attempt = Attempt.parse(headerValue);
 * }</pre>
 *
 * @param id identifier of the attempt
 * @param guardIncarnation incarnation of the guard that it is addressed to
 * @param latestStartMillis reading of that guard's clock after which it no longer starts
 */
public record Attempt(AttemptId id, long guardIncarnation, long latestStartMillis) {
    /** Header that carries the attempt from the entry to the guard. */
    public static final String HEADER = "Apricotgauge-Attempt";

    private static final char SEPARATOR = ';';
    private static final int DECIMAL = 10;

    public Attempt {
        Checks.notNull("id", id);
    }

    /**
     * Returns another attempt of the same submission, with this one's incarnation and latest start.
     *
     * <p>For {@link RetryDecision.RetryAtSameGuard}. A later start time, computed from a clock that
     * stood still in between, could outlast the guard's record of the key, and the request would
     * run a second time.
     */
    public Attempt withId(AttemptId newId) {
        return new Attempt(newId, guardIncarnation, latestStartMillis);
    }

    /** Parses the text of the header; returns empty if it is malformed. */
    public static Optional<Attempt> parse(String text) {
        int idEnd = text.indexOf(SEPARATOR);
        int incarnationEnd = text.indexOf(SEPARATOR, idEnd + 1);
        if (idEnd < 0
                || !NumberParser.isHex(text, idEnd + 1, incarnationEnd)
                || !NumberParser.isDecimal(text, incarnationEnd + 1, text.length(), true)) {
            return Optional.empty();
        }
        Optional<AttemptId> id = AttemptId.parse(text.substring(0, idEnd));
        if (id.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Attempt(
                        id.get(),
                        NumberParser.parseHex(text, idEnd + 1, incarnationEnd),
                        Long.parseLong(text, incarnationEnd + 1, text.length(), DECIMAL)));
    }

    /** Returns the header's text: identifier, incarnation in hexadecimal, latest start. */
    @Override
    public String toString() {
        return id.toString()
                + SEPARATOR
                + Long.toHexString(guardIncarnation)
                + SEPARATOR
                + latestStartMillis;
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Attempt that
                && guardIncarnation == that.guardIncarnation
                && latestStartMillis == that.latestStartMillis
                && id.equals(that.id);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * id.hashCode() + Long.hashCode(guardIncarnation))
                + Long.hashCode(latestStartMillis);
    }
}
