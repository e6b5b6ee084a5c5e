package org.apricotgauge.standin;

import java.nio.charset.StandardCharsets;

/**
 * Bodies that only the right answer to one request can have.
 *
 * <p>Each byte follows from the request's id and its place, so that a mixed-up, shortened or
 * doubled answer is seen.
 */
final class AnswerBody {

    private AnswerBody() {}

    /** Returns the body for a request's id, of the given length in bytes. */
    static byte[] of(String requestId, int lengthBytes) {
        byte[] id = String.valueOf(requestId).getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[lengthBytes];
        for (int i = 0; i < lengthBytes; i++) {
            body[i] = (byte) (id[i % id.length] + i / id.length);
        }
        return body;
    }
}
