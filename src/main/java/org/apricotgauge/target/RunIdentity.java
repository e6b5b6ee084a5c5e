package org.apricotgauge.target;

import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HashingBody;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.ReplayableBody;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Member;

/** Identifies the request of a run by its id and its fingerprint. Thread-safe. */
final class RunIdentity {
    private final String mId;
    private final HopRequest mRequest;
    private final long mHeadHash;
    private final BodyHash mBodyHash = new BodyHash();
    private final ReplayableBody mReplayableBody;

    /** Creates the identity from the head of an attempt, as the entry sent it. */
    RunIdentity(HopRequest request, SiteDialect dialect) {
        String member = request.headers().get(HeaderNames.MEMBER);
        mId = dialect.requestId(request.headers());
        mRequest = request;
        mReplayableBody = new ReplayableBody(request.body(), 0);
        mHeadHash =
                Fingerprints.headHash(
                        request.method(),
                        request.host(),
                        request.pathQuery(),
                        member == null ? Member.ANONYMOUS_ID : member);
        if (!request.hasBody()) {
            mBodyHash.end();
        }
    }

    String id() {
        return mId;
    }

    /** Returns the fingerprint; its body hash is unknown until enough of the body was read. */
    Fingerprint fingerprint() {
        return new Fingerprint(mHeadHash, mBodyHash.value());
    }

    /** Returns the body, which is hashed for the fingerprint while it is read. */
    org.eclipse.jetty.client.Request.Content body() {
        org.eclipse.jetty.client.Request.Content body = mReplayableBody.open();
        return mBodyHash.isComplete() ? body : new HashingBody(body, mBodyHash);
    }

    /**
     * Runs an action at once or, if a request with the same head was running during a crash, after
     * reading ahead in the body to complete the fingerprint.
     *
     * @param askForBody called before the body is read
     */
    void whenIdentified(QuarantineTable quarantine, Runnable askForBody, Runnable action) {
        if (mBodyHash.isComplete() || !quarantine.isSuspectHead(mHeadHash)) {
            action.run();
            return;
        }
        askForBody.run();
        // If the body is truncated, the attempt fails when it reads the body to send it.
        mReplayableBody.readAhead(mBodyHash).whenComplete((read, failure) -> action.run());
    }

    /** Returns whether a request with the same head is quarantined and this body is unknown. */
    boolean isUnidentified(QuarantineTable quarantine) {
        return !mBodyHash.isComplete() && quarantine.isQuarantinedHead(mHeadHash);
    }

    BrokenRun toBrokenRun() {
        return new BrokenRun(
                mId,
                fingerprint(),
                Fingerprints.nameOf(mRequest.method(), mRequest.host(), mRequest.path()));
    }
}
