package org.apricotgauge.functional.attempt;

import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.functional.attempt.Submission.Exchange;

/** What is under way between an entry and a guard; it may be lost, doubled or overtaken. */
sealed interface Message {

    Exchange exchange();

    /**
     * A request; something between the two ends may carry it over to the next run of the guard.
     *
     * @param boundRun the run that alone can get it once it was doubled, or 0
     */
    record Request(Exchange exchange, int boundRun) implements Message {
        boolean reaches(int run) {
            return boundRun == 0 || boundRun == run;
        }
    }

    record Response(Exchange exchange, Outcome outcome, GuardStamp stamp, int answerOf)
            implements Message {}

    record Fence(Exchange exchange, int connectionRun) implements Message {}

    record FenceResponse(Exchange exchange, FenceAnswer answer) implements Message {}

    record Cancel(Exchange exchange) implements Message {}
}
