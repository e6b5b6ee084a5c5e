package org.apricotgauge.decision.attempt;

import java.nio.ByteBuffer;
import org.apricotgauge.model.Checks;

/**
 * Answer of a target, stored by a guard for replay to a duplicate submission.
 *
 * @param status status of the answer
 * @param contentType media type of the body, or an empty string
 * @param bodyBytes length of the complete body
 * @param body read-only body, or null if it was not kept (too long, or dropped for lack of space)
 */
public record StoredAnswer(int status, String contentType, long bodyBytes, ByteBuffer body) {

    /** Stores a read-only view of the body. */
    public StoredAnswer {
        Checks.inRange("status", status, 100, 999);
        Checks.notNull("contentType", contentType);
        Checks.inRange("bodyBytes", bodyBytes, 0, Long.MAX_VALUE);
        body = body == null ? null : body.asReadOnlyBuffer();
    }

    /** Returns an answer without a body, of which only status and length are known. */
    public static StoredAnswer withoutBody(int status, long bodyBytes) {
        return new StoredAnswer(status, "", bodyBytes, null);
    }

    /** Returns whether the complete body is stored. */
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
