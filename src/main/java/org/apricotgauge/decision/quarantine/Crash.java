package org.apricotgauge.decision.quarantine;

/**
 * A crash of one target while it ran requests.
 *
 * @param id random number drawn by the node that observed the crash; identifies it on all nodes
 * @param atMillis when it happened, by the clock of the node that holds this value
 */
public record Crash(long id, long atMillis) {}
