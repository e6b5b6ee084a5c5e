package org.apricotgauge.model;

/**
 * A node's request for the published changes that another node has.
 *
 * @param after position that the requester has
 * @param tellsEra whether the requester told the era of its position; nodes of earlier releases do
 *     not, and their revisions are taken for those of the era that the other node is in
 * @param waitMillis how long the requester waits for a change, in milliseconds; 0 if it requests a
 *     fresher view
 * @param compressed whether the requester accepts compressed values
 */
public record ChangesRequest(
        StorePosition after, boolean tellsEra, long waitMillis, boolean compressed) {

    /** Validates the components. */
    public ChangesRequest {
        Checks.notNull("request.after", after);
        Checks.inRange("request.waitMillis", waitMillis, 0, Long.MAX_VALUE);
    }
}
