package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Member;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/** Creates the request to a target from the one that its guard received. */
final class TargetRequestFactory {

    private TargetRequestFactory() {}

    /**
     * Creates the request without sending it.
     *
     * @param remainingMillis time left until the request's deadline, in milliseconds
     */
    static UpstreamRequest create(
            GuardContext context,
            TargetGate gate,
            Ticket ticket,
            Request source,
            RunIdentity identity,
            long remainingMillis) {
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(source.getHeaders(), headers);
        context.dialect()
                .addTargetHeaders(headers, gate.target().id(), remainingMillis, memberOf(ticket));
        return new UpstreamRequest(
                gate.address(),
                source.getMethod(),
                source.getHttpURI().getPathQuery(),
                headers,
                identity.body());
    }

    private static Optional<String> memberOf(Ticket ticket) {
        String id = ticket.member().id();
        return id.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(id);
    }
}
