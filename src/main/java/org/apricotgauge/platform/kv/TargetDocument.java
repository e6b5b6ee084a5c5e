package org.apricotgauge.platform.kv;

/**
 * A target's own entry, as whoever wrote it left it; a field that was left out is null.
 *
 * @param address where it serves
 * @param born when this run started, in Unix milliseconds; a platform may not tell
 * @param info what does not change while it runs
 * @param status what does
 */
record TargetDocument(String address, Long born, Info info, Status status) {

    /**
     * What does not change while the target runs.
     *
     * @param service its service
     * @param zone its failure domain
     * @param version version of its software
     * @param slots how many requests it runs at a time
     */
    record Info(String service, String zone, String version, Integer slots) {}

    /**
     * What changes.
     *
     * @param state {@code ready}, or {@code draining} once it leaves
     * @param sequence how often it wrote since its start
     * @param coldRemainingMs how much longer it is slow after its start
     */
    record Status(String state, Long sequence, Long coldRemainingMs) {}
}
