package org.apricotgauge.decision.access;

import java.util.Optional;
import org.apricotgauge.model.Member;

/** The decision whether a request is allowed, and on whose behalf. */
public sealed interface Access {

    /**
     * The request is allowed.
     *
     * @param member the member that it comes from; empty if it comes from none
     */
    record Granted(Optional<Member> member) implements Access {}

    /** The request is denied. */
    record Denied(Reason reason) implements Access {}

    /** Why a request is denied. */
    enum Reason {
        /** The route requires a key and the request has none. */
        KEY_MISSING,
        /** The request has credentials of another kind, or more than one key. */
        KEY_UNREADABLE,
        /** No member has the key, or no member has it any longer. */
        KEY_UNKNOWN
    }
}
