package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.http.BearerKey;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Member;
import org.eclipse.jetty.http.HttpFields;

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
            HopRequest source,
            RunIdentity identity,
            long remainingMillis) {
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(source.headers(), headers);
        // An entry with an older configuration may not have removed the key.
        if (context.authenticatesByKey().getAsBoolean()) {
            BearerKey.removeFrom(headers);
        }
        context.dialect()
                .addTargetHeaders(headers, gate.target().id(), remainingMillis, memberOf(ticket));
        return new UpstreamRequest(
                gate.address(), source.method(), source.pathQuery(), headers, identity.body());
    }

    private static Optional<String> memberOf(Ticket ticket) {
        String id = ticket.member().id();
        return id.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(id);
    }
}
