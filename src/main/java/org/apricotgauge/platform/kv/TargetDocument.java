package org.apricotgauge.platform.kv;

/**
 * A target's own entry; its key is the id of this run of the target.
 *
 * @param address where it serves
 * @param info what does not change while it runs
 * @param status what does
 */
record TargetDocument(String address, Info info, Status status) {

    /**
     * What does not change while the target runs.
     *
     * @param service its service
     * @param zone its failure domain
     * @param slots how many requests it runs at a time
     */
    record Info(String service, String zone, int slots) {}

    /**
     * What changes.
     *
     * @param state {@code ready}, or {@code draining} once it leaves
     * @param coldRemainingMs how much longer it is slow after its start
     */
    record Status(String state, long coldRemainingMs) {}
}
