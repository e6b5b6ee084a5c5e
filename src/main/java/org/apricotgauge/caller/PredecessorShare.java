package org.apricotgauge.caller;

import org.apricotgauge.model.Service;
import org.apricotgauge.predecessor.SharePolicy;
import org.eclipse.jetty.server.Request;

/**
 * Tells which requests of a service the older routing system serves.
 *
 * <p>A request with an Idempotency-Key is told by that, so that a repeated submission stays on one
 * side; any other by its member, host and path.
 */
final class PredecessorShare {

    private PredecessorShare() {}

    /** Returns whether the older system serves a request. */
    static boolean covers(Service service, CallerRequest asked, Request request) {
        int bucket =
                asked.key()
                        .map(SharePolicy::bucketOf)
                        .orElseGet(
                                () ->
                                        SharePolicy.bucketOf(
                                                service.id(),
                                                asked.memberId(),
                                                Request.getServerName(request),
                                                request.getHttpURI().getPathQuery()));
        return !SharePolicy.isServedByFleet(bucket, service.fleetSharePercent());
    }
}
