package org.apricotgauge.decision.quarantine;

/**
 * The end of one target under the requests that it ran.
 *
 * @param id drawn at random by the node that saw it; tells crashes apart
 * @param atMillis when it happened, on the clock of the node that holds this value
 */
public record Crash(long id, long atMillis) {}
