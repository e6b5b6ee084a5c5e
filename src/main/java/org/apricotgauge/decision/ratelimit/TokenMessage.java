package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.Checks;

/** A message between nodes about tokens, sent as one datagram. */
public sealed interface TokenMessage {

    /** Returns the id that the requester assigned to the request. */
    long id();

    /**
     * A request for tokens.
     *
     * @param id id of the request, unique at the requester
     * @param member the member whose tokens are requested
     * @param count number of tokens; 0 only probes whether the receiver responds
     * @param isFinal whether the receiver must grant tokens itself and not forward the request
     */
    record Request(long id, String member, int count, boolean isFinal) implements TokenMessage {
        /** Maximum number of tokens of one request. */
        public static final int MAX_COUNT = 10_000;

        /** Validates the components. */
        public Request {
            Checks.id("request.member", member);
            Checks.inRange("request.count", count, 0, MAX_COUNT);
        }
    }

    /**
     * The response to a request.
     *
     * @param id id of the request
     * @param grant the granted tokens
     */
    record Response(long id, TokenGrant grant) implements TokenMessage {
        /** Validates the components. */
        public Response {
            Checks.notNull("grant", grant);
        }
    }
}
