package org.apricotgauge.operator;

/**
 * A request that was at work in crashes of targets, as operators see it.
 *
 * @param fingerprint what makes requests the same one
 * @param request method, host and path, if the node has seen it; else empty
 * @param crashes crashes that count against it
 * @param heldMillis how long it is still kept from targets; 0 if it may run
 */
public record HeldRequest(String fingerprint, String request, int crashes, long heldMillis) {}
