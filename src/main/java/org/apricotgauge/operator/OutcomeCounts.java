package org.apricotgauge.operator;

import org.apricotgauge.model.Checks;

/**
 * How many requests ended in which way.
 *
 * @param answered answered by a target, without a server error
 * @param failed answered by a target with a server error
 * @param notRun told not run
 * @param unknown told unknown
 * @param ejections targets ejected meanwhile; not requests
 */
public record OutcomeCounts(long answered, long failed, long notRun, long unknown, long ejections) {
    /** Counts of nothing. */
    public static final OutcomeCounts ZERO = new OutcomeCounts(0, 0, 0, 0, 0);

    /** Checks the parts. */
    public OutcomeCounts {
        Checks.inRange("answered", answered, 0, Long.MAX_VALUE);
        Checks.inRange("failed", failed, 0, Long.MAX_VALUE);
        Checks.inRange("notRun", notRun, 0, Long.MAX_VALUE);
        Checks.inRange("unknown", unknown, 0, Long.MAX_VALUE);
        Checks.inRange("ejections", ejections, 0, Long.MAX_VALUE);
    }

    /** Returns the sum of both. */
    public OutcomeCounts plus(OutcomeCounts other) {
        return new OutcomeCounts(
                answered + other.answered,
                failed + other.failed,
                notRun + other.notRun,
                unknown + other.unknown,
                ejections + other.ejections);
    }

    /** Returns all requests. */
    public long requests() {
        return answered + bad();
    }

    /** Returns the requests that did not get the answer that they asked for. */
    public long bad() {
        return failed + notRun + unknown;
    }
}
