package org.apricotgauge.caller;

import java.util.function.LongSupplier;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.HashedBody;
import org.apricotgauge.http.ReplayableBody;
import org.eclipse.jetty.client.Request;

/**
 * Tells whether a caller's request is kept from targets because it crashes them.
 *
 * <pre>{@code
 * check.whenIdentified(() -> { if (check.heldMillis() > 0) refuse(); });
 * }</pre>
 *
 * <p>While nothing is held it costs a look at an empty set. The guard looks as well, just before
 * the first byte; the entry's look saves the hop, and covers targets that have no guard.
 */
final class QuarantineCheck {
    private final QuarantineTable mTable;
    private final LongSupplier mReadHead;
    private final ReplayableBody mContent;
    private volatile BodyHash mBody = new BodyHash();
    private Long mHead;

    /**
     * Creates the check of one request.
     *
     * @param readHead hashes the request's head; asked when it is first needed
     * @param hasBody whether the request may have a body
     * @param content the body
     */
    QuarantineCheck(
            QuarantineTable table, LongSupplier readHead, boolean hasBody, ReplayableBody content) {
        mTable = table;
        mReadHead = readHead;
        mContent = content;
        if (!hasBody) {
            mBody.end();
        }
    }

    /** Goes on once the request can be told from those held with the same head, if any are. */
    void whenIdentified(Runnable next) {
        if (mBody.isComplete()
                || mTable.quarantinedCount() == 0
                || !mTable.isQuarantinedHead(head())) {
            next.run();
            return;
        }
        // A body that breaks off meanwhile fails the attempt that reads it next.
        mContent.readAhead(mBody).whenComplete((read, failure) -> next.run());
    }

    /** Returns how long the request is still kept from targets, in milliseconds; 0 if it is not. */
    long heldMillis() {
        return mTable.quarantinedCount() == 0 ? 0 : mTable.remainingQuarantineMillis(fingerprint());
    }

    Fingerprint fingerprint() {
        return new Fingerprint(head(), mBody.value());
    }

    /** Returns the request's body for an attempt past the guards, which tells its fingerprint. */
    Request.Content hashedBody() {
        Request.Content body = mContent.open();
        if (mBody.isComplete()) {
            return body;
        }
        // What an attempt before had hashed of the body is sent and hashed again.
        BodyHash hash = new BodyHash();
        mBody = hash;
        return new HashedBody(body, hash);
    }

    private synchronized long head() {
        if (mHead == null) {
            mHead = mReadHead.getAsLong();
        }
        return mHead;
    }
}
