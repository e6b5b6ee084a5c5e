package org.apricotgauge.target;

import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HashedBody;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Member;
import org.eclipse.jetty.server.Request;

/** Which request a run is for: by its id, and by what makes it the same as others. Thread-safe. */
final class RunIdentity {
    private final String mId;
    private final Request mRequest;
    private final long mHead;
    private final BodyHash mBody = new BodyHash();

    /** Reads the head of an attempt as an entry sent it. */
    RunIdentity(Request request, SiteDialect dialect) {
        String member = request.getHeaders().get(HeaderNames.MEMBER);
        mId = dialect.requestId(request.getHeaders());
        mRequest = request;
        mHead = Fingerprints.headOf(request, member == null ? Member.ANONYMOUS_ID : member);
        if (!Fingerprints.hasBody(request)) {
            mBody.end();
        }
    }

    String id() {
        return mId;
    }

    /** Returns the fingerprint, as far as the body has gone by. */
    Fingerprint fingerprint() {
        return new Fingerprint(mHead, mBody.value());
    }

    /** Returns the body, which tells the fingerprint as it is read. */
    org.eclipse.jetty.client.Request.Content hashed(org.eclipse.jetty.client.Request.Content body) {
        return mBody.isComplete() ? body : new HashedBody(body, mBody);
    }

    BrokenRun broken() {
        return new BrokenRun(mId, fingerprint(), Fingerprints.nameOf(mRequest));
    }
}
