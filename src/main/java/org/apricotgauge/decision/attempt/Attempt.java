package org.apricotgauge.decision.attempt;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * An attempt as addressed to one run of one guard: it can start there, before its time, or nowhere.
 *
 * <pre>{@code
 * request.headers(fields -> fields.put(Attempt.HEADER, attempt.toString()));
 * Optional<Attempt> attempt = Attempt.parse(headerValue);
 * }</pre>
 *
 * @param id identifier of the attempt
 * @param guardIncarnation the run of the guard that it is meant for
 * @param latestStartMillis after this reading of that guard's clock it no longer starts
 */
public record Attempt(AttemptId id, long guardIncarnation, long latestStartMillis) {
    /** Header that carries the attempt from the entry to the guard. */
    public static final String HEADER = "Apricotgauge-Attempt";

    private static final char SEPARATOR = ';';
    private static final int DECIMAL = 10;

    /** Checks the identifier. */
    public Attempt {
        Checks.notNull("id", id);
    }

    /**
     * Returns a further attempt of the same submission, bound to the same run and time as this one.
     *
     * <p>For {@link RetryDecision.RetryAtSameGuard}. A later time, taken from a clock that stood
     * still meanwhile, could outlive the guard's memory of the key, and the request would run
     * again.
     */
    public Attempt withId(AttemptId newId) {
        return new Attempt(newId, guardIncarnation, latestStartMillis);
    }

    /** Returns the attempt that the text gives, or nothing if the text is malformed. */
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

    /** Returns the text for the header: identifier, incarnation in hexadecimal, latest start. */
    @Override
    public String toString() {
        return id.toString()
                + SEPARATOR
                + Long.toHexString(guardIncarnation)
                + SEPARATOR
                + latestStartMillis;
    }
}
