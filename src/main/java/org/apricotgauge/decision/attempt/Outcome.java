package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Outcome of a request once its processing has ended.
 *
 * <pre>{@code
 * Outcome outcome = new Outcome.NotRun(NotRunReason.QUEUE_FULL, 250);
 * }</pre>
 *
 * <p>{@link NotRun} is a proof: it may only be created with evidence that the target has not
 * received the request and will not receive it later.
 */
public sealed interface Outcome {

    /**
     * The target answered.
     *
     * @param status HTTP status of the target's answer
     */
    record Answered(int status) implements Outcome {
        public Answered {
            Checks.inRange("status", status, 100, 999);
        }

        @Override
        public String toString() {
            return "Answered[status=" + status + ']';
        }
    }

    /**
     * The target has not received the request and will not receive it.
     *
     * @param reason evidence that the request did not run
     * @param retryAfterMillis delay after which the caller may retry; 0 for at once
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {
        public NotRun {
            Checks.notNull("reason", reason);
            Checks.inRange("retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
        }

        @Override
        public String toString() {
            return "NotRun[reason=" + reason + ", retryAfterMillis=" + retryAfterMillis + ']';
        }
    }

    /**
     * The request may have run, may be running, or may not have run.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(UnknownReason reason) implements Outcome {
        public Unknown {
            Checks.notNull("reason", reason);
        }

        @Override
        public String toString() {
            return "Unknown[reason=" + reason + ']';
        }
    }
}
