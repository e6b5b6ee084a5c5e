package org.apricotgauge.config;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * A set of changes that takes effect, or is refused, as a whole.
 *
 * <pre>{@code
 * Patch patch = new Patch(history.version(), "almaz", "one more host", Rules.FIRST, operations);
 * }</pre>
 *
 * <p>The operations apply in their order; whether they fit together is checked at the end, so that
 * a service and its targets may come in one patch in any order.
 *
 * @param baseVersion the version that the patch applies to
 * @param author who signed it
 * @param note why, for whoever reads the history; may be empty
 * @param rulesVersion the version of the rules it is judged by, see {@link Rules}
 * @param operations the changes
 */
public record Patch(
        long baseVersion,
        String author,
        String note,
        int rulesVersion,
        List<PatchOperation> operations) {
    private static final int MAX_AUTHOR_CHARS = 200;
    private static final int MAX_NOTE_CHARS = 10_000;

    /** Checks the parts and copies the list. */
    public Patch {
        Checks.inRange("baseVersion", baseVersion, 0, Long.MAX_VALUE);
        Checks.notBlank("author", author);
        Checks.inRange("length of author", author.length(), 1, MAX_AUTHOR_CHARS);
        note = note == null ? "" : note;
        Checks.inRange("length of note", note.length(), 0, MAX_NOTE_CHARS);
        Checks.inRange("rulesVersion", rulesVersion, Rules.FIRST, Integer.MAX_VALUE);
        Checks.notNull("operations", operations);
        for (int i = 0; i < operations.size(); i++) {
            Checks.notNull("operations[" + i + ']', operations.get(i));
        }
        operations = List.copyOf(operations);
    }
}
