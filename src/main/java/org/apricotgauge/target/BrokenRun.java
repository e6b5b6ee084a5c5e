package org.apricotgauge.target;

import org.apricotgauge.decision.quarantine.Fingerprint;

/**
 * A run whose connection to the target broke.
 *
 * @param id identifier that the caller gave the request
 * @param fingerprint what makes the request the same as others
 * @param request the request's name for operators
 */
public record BrokenRun(String id, Fingerprint fingerprint, String request) {}
