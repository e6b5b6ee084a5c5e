package org.apricotgauge.bench.soak;

import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.platform.kv.KvDialect;

/**
 * One request as its caller saw it; times are those of the soak.
 *
 * @param request the request
 * @param entry number of the node that it was sent to
 * @param isBehind whether it was sent behind another request on its connection
 * @param begunMillis when its first byte was sent, from which its deadline counts
 * @param sentMillis when its last byte was sent
 * @param endMillis when its answer was whole, or its connection ended
 * @param head head of the answer; null if none arrived
 * @param bytes how many bytes of the answer arrived
 * @param isWhole whether the answer arrived whole
 * @param isExact whether the body is the one that a target makes for this request
 * @param failure why the answer is not whole; empty if it is
 */
record Exchange(
        PlannedRequest request,
        int entry,
        boolean isBehind,
        long begunMillis,
        long sentMillis,
        long endMillis,
        HttpReader.Head head,
        long bytes,
        boolean isWhole,
        boolean isExact,
        String failure) {

    /** Returns the status that was told, 0 if there was none. */
    int status() {
        return head == null ? 0 : head.status();
    }

    /** Returns whether the answer comes from a target. */
    boolean isFromTarget() {
        return head != null && head.header(KvDialect.TARGET_MARK) != null;
    }

    /** Returns whether the answer is whole, and a target's to this very request. */
    boolean isServed() {
        return isWhole
                && isExact
                && isFromTarget()
                && status() == 200
                && request.id().equals(head.header(KvDialect.REQUEST_ID));
    }

    /** Returns the outcome that the fleet told, or an empty text. */
    String outcome() {
        return header(HeaderNames.OUTCOME);
    }

    /** Returns the reason that the fleet told, or an empty text. */
    String reason() {
        return header(HeaderNames.REASON);
    }

    private String header(String name) {
        String value = head == null ? null : head.header(name);
        return value == null ? "" : value;
    }
}
