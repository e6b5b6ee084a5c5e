package org.apricotgauge.caller;

import org.apricotgauge.model.Service;
import org.apricotgauge.predecessor.SharePolicy;
import org.eclipse.jetty.server.Request;

/**
 * Decides which requests of a service are served by the predecessor, the older routing system.
 *
 * <p>A request with an Idempotency-Key is assigned by its key, so that a retried submission goes to
 * the same system; any other by its member, host, path and query.
 */
final class PredecessorShare {

    private PredecessorShare() {}

    /** Returns whether the predecessor serves a request. */
    static boolean covers(Service service, CallerRequest callerRequest, Request request) {
        int bucket =
                callerRequest
                        .key()
                        .map(SharePolicy::bucketOf)
                        .orElseGet(
                                () ->
                                        SharePolicy.bucketOf(
                                                service.id(),
                                                callerRequest.memberId(),
                                                Request.getServerName(request),
                                                request.getHttpURI().getPathQuery()));
        return !SharePolicy.isServedByFleet(bucket, service.fleetSharePercent());
    }
}
