package org.apricotgauge.decision.retry;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Priority;

/**
 * The rank of a retry among those that compete for the same budget; the first is served first.
 *
 * <pre>{@code
 * RetryRank rank = new RetryRank(RetryRank.Use.FULL, Priority.URGENT);
 * RetryRank same = RetryRank.parseOrLast(rank.toText());
 * }</pre>
 *
 * <p>A late answer is worth a fraction of one in time to any caller. So a patient request that can
 * still be answered in time goes before an urgent one that can't.
 *
 * @param use what an answer is still worth to the caller
 * @param priority priority of the member or the route
 */
public record RetryRank(Use use, Priority priority) implements Comparable<RetryRank> {
    /** The first rank. */
    public static final RetryRank FIRST = new RetryRank(Use.FULL, Priority.CRITICAL);

    /** The last rank. */
    public static final RetryRank LAST = new RetryRank(Use.LATE, Priority.BACKGROUND);

    private static final int PRIORITIES = Priority.values().length;

    /** Number of ranks. */
    public static final int COUNT = PRIORITIES * Use.values().length;

    /** What an answer is worth. */
    public enum Use {
        /** The answer can arrive before the soft deadline. */
        FULL,
        /** The answer can arrive before the deadline only. */
        LATE
    }

    /** Validates the components. */
    public RetryRank {
        Checks.notNull("use", use);
        Checks.notNull("priority", priority);
    }

    /** Returns the position among all ranks, from 0. */
    public int level() {
        return use.ordinal() * PRIORITIES + priority.ordinal();
    }

    @Override
    public int compareTo(RetryRank other) {
        return Integer.compare(level(), other.level());
    }

    /** Returns the text that {@link #parseOrLast} reads. */
    public String toText() {
        return Integer.toString(level());
    }

    /** Returns the rank that a node sent; the last one if the text is garbled. */
    public static RetryRank parseOrLast(String text) {
        if (text == null || text.length() != 1 || !Character.isDigit(text.charAt(0))) {
            return LAST;
        }
        int level = Math.min(COUNT - 1, Character.digit(text.charAt(0), 10));
        return new RetryRank(
                Use.values()[level / PRIORITIES], Priority.values()[level % PRIORITIES]);
    }
}
