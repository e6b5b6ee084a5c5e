package org.apricotgauge.decision.access;

import java.util.Optional;
import org.apricotgauge.model.Member;

/** Whether a request may come in, and on whose behalf. */
public sealed interface Access {

    /**
     * The request may come in.
     *
     * @param member the member that it comes from; nothing if it comes from none
     */
    record Granted(Optional<Member> member) implements Access {}

    /** The request may not come in. */
    record Denied(Reason reason) implements Access {}

    /** Why a request may not come in. */
    enum Reason {
        /** The route needs a key and the request has none. */
        KEY_MISSING,
        /** The request has credentials of another kind, or more than one key. */
        KEY_UNREADABLE,
        /** No member has the key, or none has it any more. */
        KEY_UNKNOWN
    }
}
