package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.node.Node;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Answers pass through both hops whole, or break visibly. */
class WholeAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

    private static LocalFleet sFleet;
    private static Node sEntry;

    private RawTarget mTarget;

    @BeforeAll
    static void startFleet() throws IOException {
        sFleet = new LocalFleet();
        sEntry = sFleet.startNode("vm-a");
        sFleet.startNode("vm-b");
    }

    @AfterAll
    static void stopFleet() {
        sFleet.close();
    }

    @AfterEach
    void stopTarget() throws IOException {
        mTarget.close();
    }

    private RawCaller callerOf(RawTarget.Script script) throws IOException {
        mTarget = RawTarget.start(script);
        sFleet.putTarget("t", "vm-b", mTarget.port(), 3);
        sFleet.settle();
        return new RawCaller(sEntry.callerPort());
    }

    @Test
    void aFixedLengthAnswerArrivesUnchanged() throws IOException {
        try (RawCaller caller = callerOf(RawTarget.always(OK))) {
            String answer = caller.request("GET", "/x?a=b%20c").readAll();
            assertThat(answer).startsWith("HTTP/1.1 200 OK\r\n").endsWith("\r\n\r\nhello");
            assertThat(answer).doesNotContainIgnoringCase("apricotgauge");
            assertThat(mTarget.heads().get(0)).startsWith("GET /x?a=b%20c HTTP/1.1\r\n");
            assertThat(mTarget.heads().get(0)).contains("Host: site\r\n");
        }
    }

    @Test
    void aTruncatedFixedLengthAnswerBreaksTheConnection() throws IOException {
        // The caller sees a connection that ends short of the announced length, never a whole
        // answer. The target writes 3 of 10 bytes and closes; both hops must pass the break on.
        RawTarget.Script script =
                (head, body, out) -> {
                    out.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
                                    .getBytes(StandardCharsets.US_ASCII));
                    return false;
                };
        try (RawCaller caller = callerOf(script)) {
            String answer = caller.request("POST", "/once", "Content-Length: 0").readAll();
            boolean toldUnknown = answer.startsWith("HTTP/1.1 504");
            boolean shortBody =
                    answer.contains("Content-Length: 10") && answer.endsWith("\r\n\r\nabc");
            assertThat(toldUnknown || shortBody).as(answer).isTrue();
        }
    }

    @Test
    void aTruncatedChunkedAnswerNeverEndsCleanly() throws IOException {
        // The caller sees chunks without a last one, so that it knows the answer is not whole. The
        // target ends in the middle of a chunked body. Were the body ended by the close of the
        // connection, which the caller asks for here, nothing would tell half from whole.
        RawTarget.Script script =
                (head, body, out) -> {
                    out.write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    return false;
                };
        try (RawCaller caller = callerOf(script)) {
            String answer = caller.request("POST", "/once", "Content-Length: 0").readAll();
            boolean noLastChunk =
                    answer.contains("Transfer-Encoding: chunked") && !answer.endsWith("0\r\n\r\n");
            assertThat(answer.startsWith("HTTP/1.1 504") || noLastChunk).as(answer).isTrue();
        }
    }

    @Test
    void aTruncatedAnswerToAnOldCallerIsReset() throws IOException {
        // A caller of HTTP/1.0 knows no chunks, and takes a close for the end of the body; it must
        // see a reset, or be told "unknown". The target ends in the middle of its body.
        RawTarget.Script script =
                (head, body, out) -> {
                    out.write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    return false;
                };
        try (RawCaller caller = callerOf(script)) {
            caller.send("POST /once HTTP/1.0\r\nHost: site\r\nContent-Length: 0\r\n\r\n");
            String seen;
            try {
                seen = caller.readAll();
            } catch (SocketException reset) {
                seen = "reset";
            }
            assertThat(seen).matches("(?s)reset|HTTP/1.1 504.*");
        }
    }

    @Test
    void trailersOfAChunkedAnswerArrive() throws IOException {
        String answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                        + "5\r\nhello\r\n0\r\nX-Sum: 42\r\n\r\n";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got = caller.request("GET", "/").readAll();
            assertThat(got).contains("hello").contains("X-Sum: 42");
        }
    }

    @Test
    void headAnswersKeepTheirLengthAndHaveNoBody() throws IOException {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got = caller.request("HEAD", "/").readAll();
            assertThat(got).contains("Content-Length: 1234").endsWith("\r\n\r\n");
        }
    }

    @Test
    void answersWithoutABodyStayWithoutOne() throws IOException {
        String answer = "HTTP/1.1 204 No Content\r\nX-Kept: yes\r\n\r\n";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got = caller.request("GET", "/").readAll();
            assertThat(got).startsWith("HTTP/1.1 204").contains("X-Kept: yes").endsWith("\r\n\r\n");
        }
    }

    @Test
    void notModifiedPassesWithItsHeaders() throws IOException {
        String answer = "HTTP/1.1 304 Not Modified\r\nETag: \"v1\"\r\n\r\n";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got = caller.request("GET", "/", "If-None-Match: \"v1\"").readAll();
            assertThat(got).startsWith("HTTP/1.1 304").contains("ETag: \"v1\"");
        }
    }

    @Test
    void hopByHopHeadersEndAtTheHop() throws IOException {
        String answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Secret\r\n"
                        + "X-Secret: 1\r\nKeep-Alive: timeout=5\r\nX-Kept: 2\r\n\r\nok";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got =
                    caller.send(
                                    "GET / HTTP/1.1\r\nHost: site\r\nX-Drop: 1\r\nTE: trailers\r\n"
                                            + "Connection: close, X-Drop\r\n\r\n")
                            .readAll();
            assertThat(got).contains("X-Kept: 2").doesNotContain("X-Secret");
            assertThat(got).doesNotContain("Keep-Alive");
            assertThat(mTarget.heads().get(0)).doesNotContain("X-Drop").doesNotContain("TE:");
        }
    }

    @Test
    void aTargetCannotSpeakForANode() throws IOException {
        // The caller must not be told "not run" by a target: it may have run. A target that sends
        // the fleet's own header could make an entry repeat a booking.
        String answer =
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nApricotgauge-Outcome: not-run\r\n\r\n";
        try (RawCaller caller = callerOf(RawTarget.always(answer))) {
            String got = caller.request("POST", "/once", "Content-Length: 0").readAll();
            assertThat(got).startsWith("HTTP/1.1 503").doesNotContain("not-run");
            assertThat(mTarget.runs()).isEqualTo(1);
        }
    }

    @Test
    void continueIsAnsweredBeforeTheBodyIsSent() throws IOException {
        try (RawCaller caller = callerOf(RawTarget.always(OK))) {
            caller.send(
                    "POST /once HTTP/1.1\r\nHost: site\r\nContent-Length: 4\r\n"
                            + "Expect: 100-continue\r\nConnection: close\r\n\r\n");
            assertThat(caller.readHead()).startsWith("HTTP/1.1 100");
            assertThat(caller.send("body").readAll()).startsWith("HTTP/1.1 200").endsWith("hello");
        }
    }

    @Test
    void aLateSecondAnswerReachesNobody() throws IOException {
        // Two callers, one after the other, must each get their own answer. The target sends two
        // answers to the first request; the second must not become the next caller's.
        RawTarget.Script script =
                (head, body, out) -> {
                    String id = head.contains("/first") ? "first" : "other";
                    String one = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + id;
                    out.write((one + one).getBytes(StandardCharsets.US_ASCII));
                    return true;
                };
        try (RawCaller first = callerOf(script)) {
            assertThat(first.request("GET", "/first").readAll()).endsWith("first");
        }
        for (int i = 0; i < 5; i++) {
            try (RawCaller second = new RawCaller(sEntry.callerPort())) {
                assertThat(second.request("GET", "/other").readAll()).endsWith("other");
            }
        }
    }
}
