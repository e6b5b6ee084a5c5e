package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.Checks;

/** What nodes say to each other about tokens; one message a datagram. */
public sealed interface TokenMessage {

    /** Returns the number that the asker gave the question. */
    long id();

    /**
     * A question for tokens.
     *
     * @param id number of the question, unique at the asker
     * @param member whose tokens
     * @param count how many; 0 only asks whether the other one answers
     * @param isFinal whether the one asked is to answer itself, and ask nobody else
     */
    record Request(long id, String member, int count, boolean isFinal) implements TokenMessage {
        /** Most tokens that one question asks for. */
        public static final int MAX_COUNT = 10_000;

        /** Checks the parts. */
        public Request {
            Checks.id("ask.member", member);
            Checks.inRange("ask.count", count, 0, MAX_COUNT);
        }
    }

    /**
     * The answer to a question.
     *
     * @param id number of the question
     * @param grant what is granted
     */
    record Response(long id, TokenGrant grant) implements TokenMessage {
        /** Checks the parts. */
        public Response {
            Checks.notNull("answer", grant);
        }
    }
}
