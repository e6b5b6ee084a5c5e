package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.model.Member;
import org.eclipse.jetty.client.Request;

/** Creates the request to a target from the one that its guard received. */
final class TargetRequestFactory {

    private TargetRequestFactory() {}

    /**
     * Creates the request without sending it.
     *
     * @param remainingMillis time left until the request's deadline, in milliseconds
     */
    static Request create(
            GuardContext context,
            TargetGate gate,
            Ticket ticket,
            org.eclipse.jetty.server.Request source,
            RunIdentity identity,
            long remainingMillis) {
        Request request =
                context.client()
                        .newRequest(gate.uri())
                        .method(source.getMethod())
                        .path(source.getHttpURI().getPathQuery());
        request.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(source.getHeaders(), headers);
                    context.dialect()
                            .addTargetHeaders(
                                    headers, gate.target().id(), remainingMillis, memberOf(ticket));
                });
        request.body(identity.body());
        return request;
    }

    private static Optional<String> memberOf(Ticket ticket) {
        String id = ticket.member().id();
        return id.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(id);
    }
}
