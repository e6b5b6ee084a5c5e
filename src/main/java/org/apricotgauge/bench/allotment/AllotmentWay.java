package org.apricotgauge.bench.allotment;

import java.util.function.Consumer;
import java.util.function.IntPredicate;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;

/** One way to keep members to their limits, in all nodes of a simulated fleet. */
interface AllotmentWay {
    /** A request of a member arrives at a node; the verdict is told once, now or later. */
    void arrives(int node, int member, Consumer<RateLimitDecision> verdict);

    /** A millisecond has passed. */
    void tick();

    /** Nodes can't reach the others, and the others can't reach them, from now on or no more. */
    void cut(int node, boolean isCut);

    /** Nodes that go on to run are listed by the others from now on, or no more. */
    default void list(IntPredicate isListed) {}

    /** A node handles messages late, from now on or no more. */
    default void slow(int node, boolean isSlow) {}

    /** A node is killed; it starts anew, knowing nothing. */
    void restart(int node);

    /** Returns datagrams sent so far. */
    long messages();
}
