package org.apricotgauge.decision.attempt;

import java.nio.ByteBuffer;
import org.apricotgauge.model.Checks;

/**
 * What a guard keeps of a target's answer, to give it again to a repeated submission.
 *
 * @param status status of the answer
 * @param contentType media type of the body, or the empty text
 * @param bodyBytes length of the whole body
 * @param body read-only body, or null if it was not kept (too long, or dropped for lack of room)
 */
public record StoredAnswer(int status, String contentType, long bodyBytes, ByteBuffer body) {

    /** Checks the parts and makes the body read-only. */
    public StoredAnswer {
        Checks.inRange("status", status, 100, 999);
        Checks.notNull("contentType", contentType);
        Checks.inRange("bodyBytes", bodyBytes, 0, Long.MAX_VALUE);
        body = body == null ? null : body.asReadOnlyBuffer();
    }

    /** Returns an answer of which only status and length are known. */
    public static StoredAnswer withoutBody(int status, long bodyBytes) {
        return new StoredAnswer(status, "", bodyBytes, null);
    }

    /** Tells whether the whole body is here. */
    public boolean isComplete() {
        return body != null && body.remaining() == bodyBytes;
    }

    int storedBytes() {
        return body == null ? 0 : body.remaining();
    }

    StoredAnswer dropBody() {
        return new StoredAnswer(status, contentType, bodyBytes, null);
    }
}
