package org.apricotgauge.caller;

import java.util.function.LongSupplier;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.HashingBody;
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
    private final LongSupplier mHeadHasher;
    private final ReplayableBody mReplayableBody;
    private volatile BodyHash mBodyHash = new BodyHash();
    private Long mHeadHash;

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
        mHeadHasher = readHead;
        mReplayableBody = content;
        if (!hasBody) {
            mBodyHash.end();
        }
    }

    /** Goes on once the request can be told from those held with the same head, if any are. */
    void whenIdentified(Runnable next) {
        if (mBodyHash.isComplete()
                || mTable.quarantinedCount() == 0
                || !mTable.isQuarantinedHead(headHash())) {
            next.run();
            return;
        }
        // A body that breaks off meanwhile fails the attempt that reads it next.
        mReplayableBody.readAhead(mBodyHash).whenComplete((read, failure) -> next.run());
    }

    /** Returns how long the request is still kept from targets, in milliseconds; 0 if it is not. */
    long remainingQuarantineMillis() {
        return mTable.quarantinedCount() == 0 ? 0 : mTable.remainingQuarantineMillis(fingerprint());
    }

    Fingerprint fingerprint() {
        return new Fingerprint(headHash(), mBodyHash.value());
    }

    /** Returns the request's body for an attempt past the guards, which tells its fingerprint. */
    Request.Content hashedBody() {
        Request.Content body = mReplayableBody.open();
        if (mBodyHash.isComplete()) {
            return body;
        }
        // What an attempt before had hashed of the body is sent and hashed again.
        BodyHash hash = new BodyHash();
        mBodyHash = hash;
        return new HashingBody(body, hash);
    }

    private synchronized long headHash() {
        if (mHeadHash == null) {
            mHeadHash = mHeadHasher.getAsLong();
        }
        return mHeadHash;
    }
}
