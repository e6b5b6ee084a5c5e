package org.apricotgauge.caller;

import java.util.function.LongSupplier;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.HashingBody;
import org.apricotgauge.http.ReplayableBody;
import org.eclipse.jetty.client.Request;

/**
 * Checks whether a caller's request is quarantined because it crashes targets.
 *
 * <pre>{@code
 * check.whenIdentified(() -> { if (check.remainingQuarantineMillis() > 0) refuse(); });
 * }</pre>
 *
 * <p>While nothing is quarantined, the check only reads an empty set. The guard checks again just
 * before it sends the first byte; the check at the entry saves the hop, and covers targets without
 * a guard.
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
     * @param headHasher returns the hash of the request's head; called once, when first needed
     * @param hasBody whether the request may have a body
     * @param replayableBody the body
     */
    QuarantineCheck(
            QuarantineTable table,
            LongSupplier headHasher,
            boolean hasBody,
            ReplayableBody replayableBody) {
        mTable = table;
        mHeadHasher = headHasher;
        mReplayableBody = replayableBody;
        if (!hasBody) {
            mBodyHash.end();
        }
    }

    /**
     * Runs the callback once the request's fingerprint is known as far as the check needs it; reads
     * the body only if a request with the same head is quarantined.
     */
    void whenIdentified(Runnable next) {
        if (mBodyHash.isComplete()
                || mTable.quarantinedCount() == 0
                || !mTable.isQuarantinedHead(headHash())) {
            next.run();
            return;
        }
        // If the body is truncated, the attempt that reads it next fails.
        mReplayableBody.readAhead(mBodyHash).whenComplete((read, failure) -> next.run());
    }

    /** Returns how long the request stays quarantined, in milliseconds; 0 if it is not. */
    long remainingQuarantineMillis() {
        return mTable.quarantinedCount() == 0 ? 0 : mTable.remainingQuarantineMillis(fingerprint());
    }

    Fingerprint fingerprint() {
        return new Fingerprint(headHash(), mBodyHash.value());
    }

    /**
     * Returns a body for a direct attempt; reading it completes the fingerprint.
     *
     * @param body the request's body, from its start
     */
    Request.Content hashed(Request.Content body) {
        if (mBodyHash.isComplete()) {
            return body;
        }
        // An earlier attempt may have hashed a part of the body, which is sent and hashed again.
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
