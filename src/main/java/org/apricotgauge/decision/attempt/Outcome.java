package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * What is known of a request once work on it has ended.
 *
 * <pre>{@code
 * Outcome outcome = new Outcome.NotRun(NotRunReason.QUEUE_FULL, 250);
 * }</pre>
 *
 * <p>{@link NotRun} is a proof, never a guess: whoever creates one must hold evidence that the
 * target did not see the request and will not see it later.
 */
public sealed interface Outcome {

    /**
     * The target answered.
     *
     * @param status HTTP status of the target's answer
     */
    record Answered(int status) implements Outcome {
        /** Checks the status. */
        public Answered {
            Checks.inRange("status", status, 100, 999);
        }
    }

    /**
     * The target neither saw the request nor will see it.
     *
     * @param reason which evidence proves it
     * @param retryAfterMillis when the caller may come back; 0 for at once
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {
        /** Checks the parts. */
        public NotRun {
            Checks.notNull("reason", reason);
            Checks.inRange("retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
        }
    }

    /**
     * The request may have run, may be running, or may not have run.
     *
     * @param reason why no more is known
     */
    record Unknown(UnknownReason reason) implements Outcome {
        /** Checks the reason. */
        public Unknown {
            Checks.notNull("reason", reason);
        }
    }
}
