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
import org.eclipse.jetty.server.Request;

/** Which request a run is for: by its id, and by what makes it the same as others. Thread-safe. */
final class RunIdentity {
    private final String mId;
    private final Request mRequest;
    private final long mHeadHash;
    private final BodyHash mBodyHash = new BodyHash();
    private final ReplayableBody mReplayableBody;

    /** Reads the head of an attempt as an entry sent it. */
    RunIdentity(Request request, SiteDialect dialect) {
        String member = request.getHeaders().get(HeaderNames.MEMBER);
        mId = dialect.requestId(request.getHeaders());
        mRequest = request;
        mReplayableBody = new ReplayableBody(request, 0);
        mHeadHash = Fingerprints.headHash(request, member == null ? Member.ANONYMOUS_ID : member);
        if (!Fingerprints.hasBody(request)) {
            mBodyHash.end();
        }
    }

    String id() {
        return mId;
    }

    /** Returns the fingerprint, as far as the body has gone by. */
    Fingerprint fingerprint() {
        return new Fingerprint(mHeadHash, mBodyHash.value());
    }

    /** Returns the body, which tells the fingerprint as it is read. */
    org.eclipse.jetty.client.Request.Content body() {
        org.eclipse.jetty.client.Request.Content body = mReplayableBody.open();
        return mBodyHash.isComplete() ? body : new HashingBody(body, mBodyHash);
    }

    /**
     * Goes on once the request can be told from others with the same head, if one of those was at
     * work in a crash; at once otherwise.
     */
    void whenIdentified(QuarantineTable quarantine, Runnable next) {
        if (mBodyHash.isComplete() || !quarantine.isSuspectHead(mHeadHash)) {
            next.run();
            return;
        }
        // A body that breaks off meanwhile fails the attempt that reads it next.
        mReplayableBody.readAhead(mBodyHash).whenComplete((read, failure) -> next.run());
    }

    /** Returns whether others with the same head are held, and this one's body is not known. */
    boolean isUnidentified(QuarantineTable quarantine) {
        return !mBodyHash.isComplete() && quarantine.isQuarantinedHead(mHeadHash);
    }

    BrokenRun toBrokenRun() {
        return new BrokenRun(mId, fingerprint(), Fingerprints.nameOf(mRequest));
    }
}
