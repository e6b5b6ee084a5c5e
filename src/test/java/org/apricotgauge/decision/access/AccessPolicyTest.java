package org.apricotgauge.decision.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.junit.jupiter.api.Test;

/** Tests access by key and route. */
class AccessPolicyTest {
    private static final KeyDigest KEY = KeyDigest.of("k1");
    private static final Member MEMBER = new Member("stable", 1, List.of(KEY), null, null);
    private static final Configuration KEYED = Configuration.EMPTY.withMember(MEMBER);
    private static final Credentials KNOWN = Credentials.ofKey(KEY);
    private static final Credentials UNKNOWN = Credentials.ofKey(KeyDigest.of("k9"));
    private static final Route PROTECTED = route(null);
    private static final Route OPEN = route(true);

    @Test
    void grantsAccessOnBehalfOfTheKeysMember() {
        for (Route route : List.of(PROTECTED, OPEN)) {
            assertThat(AccessPolicy.decide(KEYED, route, KNOWN))
                    .isEqualTo(new Access.Granted(Optional.of(MEMBER)));
        }
    }

    @Test
    void deniesUnknownAndMalformedKeysOnOpenRoutesToo() {
        for (Route route : List.of(PROTECTED, OPEN)) {
            assertThat(AccessPolicy.decide(KEYED, route, UNKNOWN))
                    .isEqualTo(new Access.Denied(Access.Reason.KEY_UNKNOWN));
            assertThat(AccessPolicy.decide(KEYED, route, Credentials.UNREADABLE))
                    .isEqualTo(new Access.Denied(Access.Reason.KEY_UNREADABLE));
        }
    }

    @Test
    void requiresAKeyUnlessTheRouteIsOpen() {
        assertThat(AccessPolicy.decide(KEYED, OPEN, Credentials.NONE))
                .isEqualTo(new Access.Granted(Optional.empty()));
        assertThat(AccessPolicy.decide(KEYED, PROTECTED, Credentials.NONE))
                .isEqualTo(new Access.Denied(Access.Reason.KEY_MISSING));
    }

    // Guards against allowing every request once the last key has been removed.
    @Test
    void deniesAllButOpenRoutesWhenNoKeyIsLeft() {
        Configuration noKeyLeft =
                Configuration.EMPTY.withKeysRequired(true).withMember(new Member("stable", 1));

        assertThat(AccessPolicy.decide(noKeyLeft, PROTECTED, Credentials.NONE))
                .isEqualTo(new Access.Denied(Access.Reason.KEY_MISSING));
        for (Route route : List.of(PROTECTED, OPEN)) {
            assertThat(AccessPolicy.decide(noKeyLeft, route, UNKNOWN))
                    .isEqualTo(new Access.Denied(Access.Reason.KEY_UNKNOWN));
        }
        assertThat(AccessPolicy.decide(noKeyLeft, OPEN, Credentials.NONE))
                .isEqualTo(new Access.Granted(Optional.empty()));
    }

    // Guards against denying callers for the credentials that they send, at a site without keys.
    @Test
    void grantsAccessToAllWhenNoMemberHasAKey() {
        for (Credentials credentials : List.of(Credentials.NONE, UNKNOWN, Credentials.UNREADABLE)) {
            assertThat(AccessPolicy.decide(Configuration.EMPTY, PROTECTED, credentials))
                    .isEqualTo(new Access.Granted(Optional.empty()));
        }
    }

    private static Route route(Boolean openAccess) {
        return new Route(
                "r",
                "*",
                "/",
                "s",
                Priority.NORMAL,
                Repeatability.ALWAYS,
                1_000,
                null,
                null,
                null,
                openAccess);
    }
}
