package org.apricotgauge.caller;

import java.util.function.Consumer;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.model.Member;

/** Enforces the rate limit of a member, which applies to all nodes together. */
@FunctionalInterface
public interface MemberRateLimiter {
    /** Grants every request. */
    MemberRateLimiter UNBOUNDED = (member, listener) -> listener.accept(RateLimitDecision.GRANTED);

    /**
     * Acquires one of the member's tokens.
     *
     * @param member a member that has a limit
     * @param listener receives the decision once, perhaps before this method returns, never under a
     *     lock
     */
    void acquire(Member member, Consumer<RateLimitDecision> listener);
}
