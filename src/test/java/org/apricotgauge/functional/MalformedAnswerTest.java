package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes of a target that are no answer in HTTP, or only the beginning of one. */
class MalformedAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String LENGTH = "Content-Length: 5\r\n";
    private static final String END = "\r\nhello";
    private static final String SOUND = OK + LENGTH + END;

    private static volatile String sAnswer;
    private static volatile boolean sKeepsOpen;
    private static RawTarget sTarget;
    private static Hops sHops;

    @BeforeAll
    static void start() throws Exception {
        sTarget =
                RawTarget.start(
                        (head, body, out) -> {
                            out.write(sAnswer.getBytes(StandardCharsets.ISO_8859_1));
                            return sKeepsOpen;
                        });
        sHops = new Hops("a", "b").handOver().target("t", "b", sTarget.port(), 1);
    }

    @AfterAll
    static void stop() throws Exception {
        sHops.close();
        sTarget.close();
    }

    private static String request(String entry, String answer, boolean keepsOpen) throws Exception {
        sAnswer = answer;
        sKeepsOpen = keepsOpen;
        try (RawCaller caller = new RawCaller(sHops.vm(entry).callerPort())) {
            return caller.request("POST", "/once", "Content-Length: 0").readAll();
        }
    }

    private static void assertNoAnswer(String answer, boolean keepsOpen) throws Exception {
        for (String entry : List.of(Hops.OVER_HOP, Hops.IN_PROCESS)) {
            assertThat(request(entry, answer, keepsOpen))
                    .startsWith("HTTP/1.1 504")
                    .doesNotContain("hello");
            assertThat(request(entry, SOUND, true)).startsWith("HTTP/1.1 200").endsWith("hello");
        }
    }

    // Guards against answers outside of the protocol that reach callers, or spoil later answers.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n" + LENGTH + END,
                OK + "X Y: 1\r\n" + LENGTH + END,
                OK + LENGTH + "X\u0001Y: 1\r\n" + END,
                OK + LENGTH + "X: a\u0001b\r\n" + END,
                OK + "Content-Length: 18446744073709551621\r\n" + END,
            })
    void malformedAnswerDoesNotReachItsCaller(String answer) throws Exception {
        assertNoAnswer(answer, true);
    }

    // Guards against an answer whose head never came whole, which callers get with an empty body.
    @ParameterizedTest
    @ValueSource(strings = {OK, OK + LENGTH, "HTTP/1.1 102 Processing\r\n\r\n" + OK})
    void answerThatStopsInItsHeadDoesNotReachItsCaller(String beginning) throws Exception {
        assertNoAnswer(beginning, false);
    }

    // Guards against a crash in the midst of a head that looks like an empty answer.
    @ParameterizedTest
    @ValueSource(strings = {OK, OK + LENGTH})
    void answerThatIsResetInItsHeadDoesNotReachItsCaller(String beginning) throws Exception {
        try (EarlyTarget target = new EarlyTarget(beginning, EarlyTarget::reset);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            target.end();
            assertThat(caller.request("POST", "/once", "Content-Length: 0").readAll())
                    .startsWith("HTTP/1.1 504");
        }
    }
}
