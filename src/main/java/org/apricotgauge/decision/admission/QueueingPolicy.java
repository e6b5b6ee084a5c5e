package org.apricotgauge.decision.admission;

/**
 * Whether a request may wait for a slot.
 *
 * <p>An entry sees too little of a target's load to find the free slots of a service: each of 24
 * entries uses each of nine targets every few seconds. A request that is turned away where it would
 * have to wait costs 5 ms (median, see the settings of a sidecar) and finds a slot elsewhere;
 * waiting at a target of three slots that are two thirds busy takes 0.44 of a service time on
 * average (M/M/3).
 */
public enum QueueingPolicy {
    /** It is refused at once where no slot is free. */
    NO_WAIT,
    /** It waits as long as it can still be of full use; after that it tries elsewhere. */
    WHILE_USEFUL,
    /** It waits to its deadline. */
    MAY_WAIT
}
