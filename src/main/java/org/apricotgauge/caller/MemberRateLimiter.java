package org.apricotgauge.caller;

import java.util.function.Consumer;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.model.Member;

/** Tells whether a request may run by its member's limit, which holds over all nodes together. */
@FunctionalInterface
public interface MemberRateLimiter {
    /** Lets everything run. */
    MemberRateLimiter UNBOUNDED = (member, request) -> request.accept(RateLimitDecision.GRANTED);

    /**
     * Takes one of the member's tokens.
     *
     * @param member a member that has a limit
     * @param request hears the verdict once, perhaps before this returns, never under a lock
     */
    void acquire(Member member, Consumer<RateLimitDecision> request);
}
