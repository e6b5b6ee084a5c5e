package org.apricotgauge.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.apricotgauge.model.Checks;

/**
 * One published patch in the platform's ordered list.
 *
 * <pre>{@code
 * FoldResult result = history.apply(new LogEntry(history.position() + 1, body));
 * }</pre>
 *
 * <p>The body is opaque to whoever passes entries on; only the fold reads it. Unpaired surrogates
 * become '?', as they would in UTF-8, so that an entry is the same before and after it was sent.
 *
 * @param position place in the list; the first is 1, and the next is always one more
 * @param body JSON text of the patch, well formed or not
 */
public record LogEntry(long position, String body) {

    /** Checks the parts. */
    public LogEntry {
        Checks.inRange("entry.position", position, 1, Long.MAX_VALUE);
        Checks.notNull("entry.body", body);
        if (!UTF_8.newEncoder().canEncode(body)) {
            body = new String(body.getBytes(UTF_8), UTF_8);
        }
    }
}
