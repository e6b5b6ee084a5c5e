package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes of a target that never end: in a head, before it, or in a body. */
class EndlessAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    private static final long LONG_MILLIS = 20_000;
    private static final long WAIT_SECONDS = 15;
    private static final int AT_A_TIME = 8;
    private static final String SHORT_TIMEOUT = HeaderNames.TIMEOUT_MILLIS + ": 1500";

    /** A target that repeats bytes after a beginning, until its peer closes the connection. */
    private static final class Endless implements AutoCloseable {
        private final CompletableFuture<Void> mClosedByPeer = new CompletableFuture<>();
        private final RawTarget mTarget;

        Endless(String beginning, String repeated, long pauseMillis) throws Exception {
            byte[] bytes = repeated.getBytes(StandardCharsets.ISO_8859_1);
            mTarget =
                    RawTarget.start(
                            (head, body, out) -> {
                                out.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
                                repeat(bytes, pauseMillis, out);
                                return false;
                            });
        }

        private void repeat(byte[] bytes, long pauseMillis, OutputStream out)
                throws InterruptedException {
            try {
                while (true) {
                    out.write(bytes);
                    out.flush();
                    if (pauseMillis > 0) {
                        Thread.sleep(pauseMillis);
                    }
                }
            } catch (IOException closed) {
                mClosedByPeer.complete(null);
            }
        }

        void awaitClosedByPeer() throws Exception {
            mClosedByPeer.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            mTarget.close();
        }
    }

    // Guards against a thread that reads one target for good, while the others' answers wait.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
                "\0",
                "\r\n",
            })
    void bytesBeforeTheHeadEndTheRunAndDelayNoOther(String repeated) throws Exception {
        try (Endless bad = new Endless("", repeated.repeat(200), 0);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            ScriptedEntry entry = new ScriptedEntry(hops, "a");
            List<ScriptedEntry.Sent> endless = new ArrayList<>();
            for (int i = 0; i < AT_A_TIME; i++) {
                endless.add(entry.send("bad", "/x", LONG_MILLIS, HttpFields.EMPTY));
            }

            assertThat(entry.send("good", "/x", LONG_MILLIS, HttpFields.EMPTY).body())
                    .isEqualTo("hello");
            bad.awaitClosedByPeer();
            for (ScriptedEntry.Sent sent : endless) {
                assertThat(sent.reason()).isEqualTo("started");
            }
        }
    }

    // Guards against a head without end that is kept as a whole, or that holds up other answers.
    @ParameterizedTest
    @CsvSource({
        "'', HTTP/1.1",
        "'HTTP/1.1 ', 2",
        "'HTTP/1.1 200 O', K",
        "'HTTP/1.1 200 OK|', X: y|",
        "'HTTP/1.1 200 OK|', x",
        "'HTTP/1.1 200 OK|X: ', y",
        "'HTTP/1.1 200 OK|X:', ' '",
        "'HTTP/1.1 200 OK|Content-Length: ', 0",
        "'HTTP/1.1 102 Processing|', X: y|",
    })
    void aHeadWithoutEndEndsTheRunAndDelaysNoOther(String beginning, String repeated)
            throws Exception {
        try (Endless bad = new Endless(lines(beginning), lines(repeated).repeat(1_000), 0);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            for (ScriptedEntry.Sent sent : sendBeside(bad, hops, LONG_MILLIS)) {
                assertThat(sent.reason()).isEqualTo("started");
            }
        }
    }

    // Guards against chunks whose framing never ends, which hold up other answers or look whole.
    @ParameterizedTest
    @CsvSource({"1;, x", "'', 0", "'1|a|0|', X: y|", "'1|a|0|', x", "'1|a|', 1|a|"})
    void chunksWithoutEndBreakAndDelayNoOther(String beginning, String repeated) throws Exception {
        String head = "HTTP/1.1 200 OK|Transfer-Encoding: chunked||";
        try (Endless bad = new Endless(lines(head + beginning), lines(repeated).repeat(1_000), 0);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            for (ScriptedEntry.Sent sent : sendBeside(bad, hops, 2_000)) {
                // A guard that has told nothing of the answer yet tells the outcome in its place.
                if (sent.reason() == null) {
                    assertThatThrownBy(sent::body).isNotNull();
                } else {
                    assertThat(sent.reason()).isEqualTo("started");
                }
            }
        }
    }

    private static String lines(String text) {
        return text.replace("|", "\r\n");
    }

    /** Sends several requests to an endless target, and one to a sound target beside them. */
    private static List<ScriptedEntry.Sent> sendBeside(Endless bad, Hops hops, long endlessMillis)
            throws Exception {
        ScriptedEntry entry = new ScriptedEntry(hops, "a");
        List<ScriptedEntry.Sent> endless = new ArrayList<>();
        for (int i = 0; i < AT_A_TIME; i++) {
            endless.add(entry.send("bad", "/x", endlessMillis, HttpFields.EMPTY));
        }
        LocalFleet.await(() -> bad.mTarget.runs() == AT_A_TIME);
        assertThat(entry.send("good", "/x", LONG_MILLIS, HttpFields.EMPTY).body())
                .isEqualTo("hello");
        bad.awaitClosedByPeer();
        return endless;
    }

    // Guards against an endless body that looks whole, or that holds up other answers.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
            })
    void anEndlessBodyBreaksAtTheDeadlineAndDelaysNoOther(String head) throws Exception {
        try (Endless bad = new Endless(head, "x".repeat(60_000), 0);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            ScriptedEntry entry = new ScriptedEntry(hops, "a");
            ScriptedEntry.Sent sent = entry.send("bad", "/x", 2_000, HttpFields.EMPTY);
            sent.response();

            assertThat(entry.send("good", "/x", LONG_MILLIS, HttpFields.EMPTY).body())
                    .isEqualTo("hello");
            assertThatThrownBy(sent::body).isNotNull();
            bad.awaitClosedByPeer();
        }
    }

    // Guards against callers that wait for good for the rest of an answer, or take it for whole.
    @Test
    void anAnswerThatFallsSilentEndsVisiblyAtTheDeadline() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        RawTarget.Script silent =
                (head, body, out) -> {
                    out.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    never.await();
                    return false;
                };
        try (RawTarget target = RawTarget.start(silent);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), AT_A_TIME);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            String answer =
                    caller.request("POST", "/once", "Content-Length: 0", SHORT_TIMEOUT).readAll();
            boolean isCut = answer.contains("Content-Length: 9") && answer.endsWith("abc");
            assertThat(isCut || answer.startsWith("HTTP/1.1 504")).as(answer).isTrue();
        }
    }

    // Guards against endless answers whose callers don't read, which hold up all others.
    @Test
    void endlessBodiesForCallersThatDoNotReadDelayNoOther() throws Exception {
        try (Endless bad = new Endless("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(60_000), 0);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", bad.mTarget.port(), AT_A_TIME)) {
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < AT_A_TIME; i++) {
                RawCaller caller = new RawCaller(hops.vm("a").callerPort());
                callers.add(caller.request("GET", "/x", SHORT_TIMEOUT));
            }
            LocalFleet.await(() -> bad.mTarget.runs() == AT_A_TIME);
            hops.target("t", "b", good.port(), AT_A_TIME);

            try (RawCaller other = new RawCaller(hops.vm("a").callerPort())) {
                assertThat(other.request("GET", "/x").readAll()).endsWith("hello");
            }
            bad.awaitClosedByPeer();
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    // Guards against a rejection whose body never ends, which would keep its connection for good.
    @Test
    void theBodyOfARejectionIsNotReadForGood() throws Exception {
        String shed = "HTTP/1.1 503 Busy\r\nShed: 1\r\n\r\n";
        try (Endless bad = new Endless(shed, "x", 50);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            ScriptedEntry.Sent sent =
                    new ScriptedEntry(hops, "a").send("bad", "/x", 1_000, HttpFields.EMPTY);
            sent.response();
            bad.awaitClosedByPeer();
        }
    }

    // Guards against a failed answer without end that delays the retry and keeps its slot.
    @ParameterizedTest
    @ValueSource(longs = {0, 20})
    void anEndlessFailedAnswerGivesWayToAnotherTarget(long pauseMillis) throws Exception {
        String failed = "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n";
        try (Endless bad = new Endless(failed, "3\r\nabc\r\n", pauseMillis);
                RawTarget good = RawTarget.start(RawTarget.always(OK));
                Hops hops = twoTargets(bad, good)) {
            for (int i = 0; i < 6; i++) {
                try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
                    assertThat(caller.request("GET", "/x").readAll()).endsWith("hello");
                }
            }
            assertThat(bad.mTarget.runs()).isPositive();
            bad.awaitClosedByPeer();
        }
    }

    private static Hops twoTargets(Endless bad, RawTarget good) throws Exception {
        return new Hops("a", "b")
                .target("bad", "b", bad.mTarget.port(), AT_A_TIME)
                .target("good", "b", good.port(), AT_A_TIME);
    }
}
