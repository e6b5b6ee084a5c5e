package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.standin.PredecessorStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests in the older system's share, one at a time. */
class PredecessorTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Own: a\r\nContent-Length: 2\r\n\r\nok";
    private static final String SHED =
            "HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";

    private Hops mHops;
    private RawTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mHops = new Hops("a", "b");
        mTarget = RawTarget.start(RawTarget.always(OK));
        mHops.target("t", "b", mTarget.port(), 3);
    }

    @AfterEach
    void stop() throws IOException {
        mHops.close();
        mTarget.close();
    }

    private String ask(String vm, String method, String path, String... headers)
            throws IOException {
        try (RawCaller caller = new RawCaller(mHops.vm(vm).callerPort())) {
            return caller.request(method, path, headers).readAll();
        }
    }

    private static int refusingPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void theAnswerIsTheSameOnBothSides() throws Exception {
        // The caller sees the target's bytes, whichever side forwarded the request.
        Address target = new Address("127.0.0.1", mTarget.port());
        try (PredecessorStandin older = PredecessorStandin.start("127.0.0.1", 0, List.of(target))) {
            mHops.share(0, older.port());
            String byOlder = ask("a", "GET", "/x");
            int served = older.served();
            mHops.share(100, older.port());

            assertThat(ask("a", "GET", "/x")).isEqualTo(byOlder);
            assertThat(byOlder).startsWith("HTTP/1.1 200").endsWith("ok");
            assertThat(served).isEqualTo(1);
            assertThat(older.served()).isEqualTo(1);
        }
    }

    @Test
    void whatTheOlderSystemShedsTheFleetDoesNotRetry() throws Exception {
        // The older system has retried already; the caller gets its 503 with its own Retry-After,
        // and neither it nor the fleet's target hears of the request again.
        try (RawTarget older = RawTarget.start(RawTarget.always(SHED))) {
            mHops.share(0, older.port());

            assertThat(ask("a", "GET", "/x"))
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After: 7")
                    .doesNotContainIgnoringCase("Apricotgauge-");
            assertThat(older.runs()).isEqualTo(1);
            assertThat(mTarget.runs()).isZero();
        }
    }

    @Test
    void aBrokenConnectionOfTheOlderSystemIsUnknown() throws Exception {
        // The older system takes the request and breaks off. It may have run it, or be running it.
        // Nobody sends it again, the key's home and the entry that asks it included.
        try (RawTarget older = RawTarget.start((head, body, out) -> false)) {
            mHops.share(0, older.port());

            assertThat(ask("a", "POST", "/once", "Content-Length: 0"))
                    .startsWith("HTTP/1.1 504")
                    .contains("Apricotgauge-Outcome: unknown");
            assertThat(older.runs()).isEqualTo(1);
            assertThat(ask("a", "POST", "/once", "Content-Length: 0", "Idempotency-Key: k-2"))
                    .startsWith("HTTP/1.1 504");
            assertThat(older.runs()).isEqualTo(2);
            assertThat(ask("a", "GET", "/x")).startsWith("HTTP/1.1 504");
            assertThat(older.runs()).isEqualTo(3);
            assertThat(mTarget.runs()).isZero();
        }
    }

    @Test
    void whatTheOlderSystemTakesNoConnectionForIsReadAtTheFleetButNotBooked() throws Exception {
        // The older system is off. A read is served by the fleet; a booking is told "not run", as
        // an earlier submission of it may have run over there.
        mHops.share(0, refusingPort());

        assertThat(ask("a", "GET", "/x")).startsWith("HTTP/1.1 200").endsWith("ok");
        assertThat(mTarget.runs()).isEqualTo(1);
        assertThat(ask("a", "POST", "/once", "Content-Length: 0"))
                .startsWith("HTTP/1.1 503")
                .contains("Retry-After: 1", "Apricotgauge-Reason: predecessor-unreachable");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    @Test
    void aKeyThatTheOlderSystemRanDoesNotRunAtTheFleetAfterTheMove() throws Exception {
        // The booking runs at the older system; the share moves; the caller submits the key again
        // at another node, before or after that node heard of the move, and gets the first answer.
        try (RawTarget older = RawTarget.start(RawTarget.always(OK))) {
            mHops.share(0, older.port());
            String[] booking = {"Content-Length: 0", "Idempotency-Key: k-1"};
            assertThat(ask("a", "POST", "/once", booking)).startsWith("HTTP/1.1 200");
            mHops.share(100, older.port());

            assertThat(ask("b", "POST", "/once", booking))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("ok");
            mHops.share(0, older.port());
            assertThat(ask("b", "POST", "/once", booking))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("ok");
            assertThat(older.runs()).isEqualTo(1);
            assertThat(mTarget.runs()).isZero();
        }
    }

    @Test
    void anOlderSystemThatPointsBackMakesNoCircle() throws Exception {
        // The older system was told to use the fleet as its target. The request comes back once,
        // is known by its Via, and the caller sees 508.
        Address entry = new Address("127.0.0.1", mHops.vm("b").callerPort());
        try (PredecessorStandin older = PredecessorStandin.start("127.0.0.1", 0, List.of(entry))) {
            mHops.share(0, older.port());

            assertThat(ask("a", "GET", "/x")).startsWith("HTTP/1.1 508");
            assertThat(older.served()).isEqualTo(1);
        }
    }
}
