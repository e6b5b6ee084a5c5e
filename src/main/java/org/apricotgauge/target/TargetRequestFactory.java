package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.model.Member;
import org.eclipse.jetty.client.Request;

/** Makes the request that a target gets out of the one that its guard got. */
final class TargetRequestFactory {

    private TargetRequestFactory() {}

    /**
     * Returns the request, not sent.
     *
     * @param leftMillis time left until the answer is of no more use, in milliseconds
     */
    static Request create(
            GuardContext context,
            TargetGate gate,
            Ticket ticket,
            org.eclipse.jetty.server.Request from,
            RunIdentity identity,
            long leftMillis) {
        Request to =
                context.client()
                        .newRequest(gate.uri())
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        to.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(from.getHeaders(), headers);
                    context.dialect()
                            .addTargetHeaders(
                                    headers, gate.target().id(), leftMillis, memberOf(ticket));
                });
        to.body(identity.body());
        return to;
    }

    private static Optional<String> memberOf(Ticket ticket) {
        String id = ticket.member().id();
        return id.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(id);
    }
}
