package org.apricotgauge.decision.admission;

/**
 * Whether a request may queue for a slot.
 *
 * <p>An entry observes too little of a target's load to find the free slots of a service: each of
 * 24 entries uses each of 9 targets only every few seconds. A request that is rejected where it
 * would have to queue costs 5 ms (median, see the settings of a sidecar) and finds a slot
 * elsewhere. Queueing at a target of 3 slots that are two thirds busy takes 0.44 of a service time
 * on average (M/M/3).
 */
public enum QueueingPolicy {
    /** The request is rejected at once if no slot is free. */
    NO_WAIT,
    /** The request may queue while it can meet its soft deadline, and is rejected after that. */
    WHILE_USEFUL,
    /** The request may queue until its deadline. */
    MAY_WAIT
}
