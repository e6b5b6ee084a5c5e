package org.apricotgauge.target;

import org.apricotgauge.decision.admission.RejectionReason;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.attempt.NotRunReason;

/** Translates the ends of attempts between the queue and the hop. */
final class RunResults {
    private RunResults() {}

    static NotRunReason reasonOf(RejectionReason reason) {
        return switch (reason) {
            case BUSY -> NotRunReason.BUSY;
            case QUEUE_FULL -> NotRunReason.QUEUE_FULL;
            case DEADLINE_TOO_SHORT -> NotRunReason.DEADLINE_TOO_SHORT;
            case DEADLINE_PASSED -> NotRunReason.DEADLINE_PASSED;
        };
    }

    // A failure after 1 ms is no sample of the service time. If it counted, wait estimates would be
    // too short, and requests would wait past their deadlines at targets that just began to fail.
    static RunResult resultOf(boolean shed, boolean error) {
        if (shed) {
            return RunResult.SHED;
        }
        return error ? RunResult.FAILED : RunResult.ANSWERED;
    }
}
