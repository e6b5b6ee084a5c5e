package org.apricotgauge.config;

import java.util.List;

/**
 * What became of one entry of the platform's list.
 *
 * <pre>{@code
 * FoldResult result = history.apply(entry);
 * if (result instanceof FoldResult.OutOfOrder gap) {
 *     fetchFrom(gap.expectedPosition());
 * }
 * }</pre>
 */
public sealed interface FoldResult {

    /** Returns the history after the entry; the same one if the entry was not taken. */
    ConfigHistory history();

    /** The patch took effect: the history is one version and one position further. */
    record Accepted(ConfigHistory history, Patch patch) implements FoldResult {}

    /** The patch was refused as a whole: same version, one position further. */
    record Refused(ConfigHistory history, List<RefusalReason> reasons) implements FoldResult {
        /** Copies the list. */
        public Refused {
            reasons = List.copyOf(reasons);
        }
    }

    /** The entry is not the next one; the history is unchanged. */
    record OutOfOrder(ConfigHistory history, long expectedPosition, long position)
            implements FoldResult {
        /** Returns whether the history has passed this position already. */
        public boolean isDuplicate() {
            return position < expectedPosition;
        }
    }

    /**
     * The entry puts rules in force that this release does not know; the history is unchanged, and
     * stays so until a newer release runs here.
     */
    record UnsupportedRules(ConfigHistory history, long position, int rulesVersion)
            implements FoldResult {}
}
