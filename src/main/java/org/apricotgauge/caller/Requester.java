package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.http.BearerKey;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.eclipse.jetty.http.HttpFields;

/**
 * The sender of a request.
 *
 * @param member the configured member, if the request was authenticated as one
 * @param memberId its id, or the id that an unauthenticated request names
 * @param removesAuthorization whether the fleet reads the credentials, so that targets get none
 */
record Requester(Optional<Member> member, String memberId, boolean removesAuthorization) {

    /** Returns the requester of an authenticated request; anonymous if there is no member. */
    static Requester authenticated(Optional<Member> member) {
        return new Requester(member, member.map(Member::id).orElse(Member.ANONYMOUS_ID), true);
    }

    /** Returns a requester whose id is not verified, since the site has no API keys. */
    static Requester unauthenticated(Optional<String> memberId) {
        return new Requester(Optional.empty(), memberId.orElse(Member.ANONYMOUS_ID), false);
    }

    /** Removes the credentials from a request to a target. */
    void removeCredentials(HttpFields.Mutable headers) {
        if (removesAuthorization) {
            BearerKey.removeFrom(headers);
        }
    }

    /** Returns the priority of its requests on a route. */
    Priority priorityOr(Priority ofRoute) {
        return member.map(one -> one.priorityOr(ofRoute)).orElse(ofRoute);
    }

    /** Returns the id that is sent to targets; empty for an anonymous request. */
    Optional<String> forwardedMemberId() {
        return memberId.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(memberId);
    }
}
