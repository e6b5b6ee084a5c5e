package org.apricotgauge.caller;

import java.util.Optional;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Who asks.
 *
 * @param member the member as the configuration has it, if the request proved to come from one
 * @param memberId its id, or what a request without proof calls itself
 * @param removesAuthorization whether the fleet itself reads credentials, so that targets get none
 */
record Requester(Optional<Member> member, String memberId, boolean removesAuthorization) {

    /** Returns a requester that proved to be the member; nobody if there is none. */
    static Requester authenticated(Optional<Member> member) {
        return new Requester(member, member.map(Member::id).orElse(Member.ANONYMOUS_ID), true);
    }

    /** Returns a requester that is believed what it says, since no member has a key. */
    static Requester unauthenticated(Optional<String> memberId) {
        return new Requester(Optional.empty(), memberId.orElse(Member.ANONYMOUS_ID), false);
    }

    /** Removes the credentials from a request on its way to a target. */
    void removeCredentials(HttpFields.Mutable headers) {
        if (removesAuthorization) {
            headers.remove(HttpHeader.AUTHORIZATION);
        }
    }

    /** Returns the rank of its requests on a route. */
    Priority priorityOr(Priority ofRoute) {
        return member.map(one -> one.priorityOr(ofRoute)).orElse(ofRoute);
    }

    /** Returns the member that targets are told of. */
    Optional<String> forwardedMemberId() {
        return memberId.equals(Member.ANONYMOUS_ID) ? Optional.empty() : Optional.of(memberId);
    }
}
