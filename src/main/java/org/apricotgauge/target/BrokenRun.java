package org.apricotgauge.target;

import org.apricotgauge.decision.quarantine.Fingerprint;

/**
 * A run whose connection to the target broke before its answer was complete.
 *
 * @param id request id that the caller assigned
 * @param fingerprint hashes of the request's head and body, equal for duplicates
 * @param request name of the request as shown to operators
 */
public record BrokenRun(String id, Fingerprint fingerprint, String request) {}
