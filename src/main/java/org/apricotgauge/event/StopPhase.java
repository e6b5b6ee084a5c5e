package org.apricotgauge.event;

/** The steps of a planned stop, in their order. */
public enum StopPhase {
    /** Peers and callers are told; readiness is off. */
    ANNOUNCED,
    /** No new work is taken; requests in flight go on. */
    DRAINING,
    /** No request is in flight any more. */
    DRAINED,
    /** The longest time for draining ran out with requests in flight. */
    TIMED_OUT
}
