package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.RateLimit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Requests with keys on their way through both hops. */
class KeysTest {
    private static final String KEY = "3nax7u27gxprymh2rryt";
    private static final String BEARER = "Authorization: Bearer " + KEY;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final RateLimit LIMIT = new RateLimit(5, 5);

    // Guards against a key that a target, or whoever reads its logs, could use.
    @Test
    void aTargetSeesTheMemberAndNeverTheKey() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target)) {
            assertThat(ask(hops, "/x", BEARER, "apricotgauge-member: forged"))
                    .startsWith("HTTP/1.1 200");

            String head = target.heads().get(0);
            assertThat(head).doesNotContain(KEY);
            assertThat(head.toLowerCase(Locale.ROOT)).doesNotContain("authorization");
            assertThat(head).contains("Apricotgauge-Member: stable").doesNotContain("forged");
        }
    }

    @Test
    void withoutAKeyThatIsInForceNothingRuns() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target).openRoute("/open/")) {
            assertThat(ask(hops, "/x")).startsWith("HTTP/1.1 401").contains("Bearer");
            assertThat(ask(hops, "/x", "Authorization: Bearer other")).startsWith("HTTP/1.1 401");
            assertThat(ask(hops, "/x", BEARER, BEARER)).startsWith("HTTP/1.1 401");
            assertThat(target.runs()).isZero();

            assertThat(ask(hops, "/open/x")).startsWith("HTTP/1.1 200");
            assertThat(target.heads().get(0)).doesNotContain("Apricotgauge-Member");
        }
    }

    // Guards against a key that goes on to work on connections that were open when it was removed.
    @Test
    void aRemovedKeyEndsOnAnOpenConnection() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            String request = "GET /x HTTP/1.1\r\nHost: site\r\n" + BEARER + "\r\n\r\n";
            assertThat(caller.send(request).readHead()).startsWith("HTTP/1.1 200");

            hops.member(new Member("stable", 1, List.of(KeyDigest.of("new")), null, null));

            assertThat(caller.send(request).readHead()).startsWith("HTTP/1.1 401");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    // Guards against requests that run, and keys that reach targets, once no key is left.
    @Test
    void withoutAnyKeyLeftNothingRunsButOpenRoutes() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target).requireKeys().openRoute("/open/")) {
            hops.member(new Member("stable", 1));

            assertThat(ask(hops, "/x")).startsWith("HTTP/1.1 401");
            assertThat(ask(hops, "/x", BEARER)).startsWith("HTTP/1.1 401");
            assertThat(ask(hops, "/open/x", BEARER)).startsWith("HTTP/1.1 401");
            assertThat(target.runs()).isZero();
            assertThat(hops.vm("a").count("entry.denied.key_missing")).isEqualTo(1);
            assertThat(hops.vm("a").count("entry.denied.key_unknown")).isEqualTo(2);

            assertThat(ask(hops, "/open/x")).startsWith("HTTP/1.1 200");
        }
    }

    // Guards against a key that an entry with an older configuration passes on through the guard.
    @Test
    void aGuardRemovesAKeyThatItsEntryDidNot() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target)) {
            HttpFields fromEntry = HttpFields.build().put("Authorization", "Bearer " + KEY);

            new ScriptedEntry(hops, "a").send("t", "/x", 5_000, fromEntry).response();

            assertThat(target.heads().get(0)).doesNotContain(KEY);
        }
    }

    // Guards against targets that lose the credentials of a site whose fleet reads none.
    @Test
    void aSiteWithoutKeysKeepsItsCallersCredentials() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 2)) {
            assertThat(ask(hops, "/x", BEARER)).startsWith("HTTP/1.1 200");

            assertThat(target.heads().get(0)).contains(BEARER);
        }
    }

    @Test
    void beyondItsLimitAMemberIsToldWhenToComeBack() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = keyed(target)) {
            hops.limits(
                    "a", (member, request) -> request.accept(new RateLimitDecision.Refused(2_500)));
            assertThat(ask(hops, "/x", BEARER))
                    .startsWith("HTTP/1.1 429")
                    .contains("Retry-After: 3")
                    .contains("not-run: over-limit");

            hops.limits("a", (member, request) -> request.accept(RateLimitDecision.UNKNOWN));
            assertThat(ask(hops, "/x", BEARER)).startsWith("HTTP/1.1 503");
            assertThat(target.runs()).isZero();
        }
    }

    private static Hops keyed(RawTarget target) throws Exception {
        return new Hops("a", "b")
                .target("t", "b", target.port(), 2)
                .member(new Member("stable", 1, List.of(KeyDigest.of(KEY)), null, LIMIT));
    }

    private static String ask(Hops hops, String path, String... headers) throws IOException {
        try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            return caller.request("GET", path, headers).readAll();
        }
    }
}
