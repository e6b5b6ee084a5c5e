package org.apricotgauge.functional.attempt;

import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.functional.attempt.Submission.Exchange;

/** What is under way between an entry and a guard; it may be lost, doubled or overtaken. */
sealed interface Message {

    Exchange exchange();

    record Request(Exchange exchange) implements Message {}

    record Response(Exchange exchange, Outcome outcome, GuardStamp stamp, int answerOf)
            implements Message {}

    record Fence(Exchange exchange, int connectionRun) implements Message {}

    record FenceResponse(Exchange exchange, FenceAnswer answer) implements Message {}

    record Cancel(Exchange exchange) implements Message {}
}
