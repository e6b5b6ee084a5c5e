package org.apricotgauge.decision.ratelimit;

import java.util.function.Consumer;

/** A decision that is delivered once the state of the limiter is consistent. */
record PendingDecision(Consumer<RateLimitDecision> callback, RateLimitDecision decision) {
    void deliver() {
        callback.accept(decision);
    }
}
