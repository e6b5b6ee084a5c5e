package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that targets send while the body of their request is still on its way. */
class EarlyAnswerTest {
    private static final int LENGTH = 9;
    private static final String FIRST_CHUNK = "4\r\npart";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int UPLOAD_BYTES = 300_000;
    private static final int UPLOADS = 20;

    // Guards against a part of an answer that looks whole: a target that ends its connection
    // before it has read an upload breaks off, whether or not the reset is seen.
    @ParameterizedTest
    @ValueSource(strings = {Hops.OVER_HOP, Hops.IN_PROCESS})
    void answerThatEndsBeforeItsUploadNeverLooksWhole(String entry) throws Exception {
        assertThat(restOfAnswer(entry, "", Socket::shutdownOutput)).doesNotEndWith(LAST_CHUNK);
    }

    // Guards against a part of an answer that looks whole after its target's crash, at the guard or
    // at the entry behind it.
    @ParameterizedTest
    @CsvSource({
        "a, ''", "a, Content-Length: " + LENGTH + "|", "a, Transfer-Encoding: chunked|",
        "b, ''", "b, Content-Length: " + LENGTH + "|", "b, Transfer-Encoding: chunked|",
    })
    void answerThatIsResetBeforeItsUploadNeverLooksWhole(String entry, String framing)
            throws Exception {
        String rest = restOfAnswer(entry, framing, EarlyTarget::reset);

        assertThat(rest).doesNotEndWith(LAST_CHUNK).hasSizeLessThan(LENGTH - "part".length());
    }

    private static String restOfAnswer(String entry, String framing, EarlyTarget.End end)
            throws Exception {
        String part = framing.contains("chunked") ? FIRST_CHUNK : "part";
        String received = framing.contains("Length") ? "part" : FIRST_CHUNK;
        String answer = "HTTP/1.1 200 OK\r\n" + framing.replace("|", "\r\n") + "\r\n" + part;
        try (EarlyTarget target = new EarlyTarget(answer, end);
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1);
                RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
            sendHalf(caller);
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            assertThat(caller.read(received.length())).isEqualTo(received);
            target.end();
            return readToEndOrReset(caller);
        }
    }

    // An entry resets a connection if a part of the upload has not been read from it.
    private static String readToEndOrReset(RawCaller caller) throws IOException {
        try {
            return caller.readAll();
        } catch (SocketException reset) {
            return "";
        }
    }

    private static void sendHalf(RawCaller caller) throws Exception {
        String head = "POST /once HTTP/1.1\r\nHost: site\r\nContent-Length: " + UPLOAD_BYTES;
        caller.send(head + "\r\n\r\n" + "u".repeat(UPLOAD_BYTES / 2));
    }

    // Guards against early refusals that are taken for broken off.
    @ParameterizedTest
    @CsvSource({"Content-Length: 4,part", "Transfer-Encoding: chunked,4|part|0||"})
    void earlyRefusalOfKnownLengthArrives(String framing, String lines) throws Exception {
        String body = lines.replace("|", "\r\n");
        String refusal = "HTTP/1.1 413 Too Large\r\n" + framing + "\r\n\r\n" + body;
        try (EarlyTarget target = new EarlyTarget(refusal, connection -> {});
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            sendHalf(caller);

            assertThat(caller.readHead()).startsWith("HTTP/1.1 413");
            assertThat(caller.read(body.length())).isEqualTo(body);
        }
    }

    // Guards against whole answers that are taken for broken off, because a target answers and
    // closes before the end of its request has been noted here.
    @Test
    void answerWithoutLengthToAWholeUploadIsWhole() throws Exception {
        RawTarget.Script script =
                (head, body, out) -> {
                    String answer = "HTTP/1.1 200 OK\r\n\r\n" + body.length;
                    out.write(answer.getBytes(StandardCharsets.US_ASCII));
                    return false;
                };
        String head = "POST /once HTTP/1.1\r\nHost: site\r\nConnection: close\r\n";
        String body = "u".repeat(UPLOAD_BYTES);
        try (RawTarget target = RawTarget.start(script);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            for (int i = 0; i < UPLOADS; i++) {
                try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
                    String framed =
                            i % 2 == 0
                                    ? "Content-Length: " + UPLOAD_BYTES + "\r\n\r\n" + body
                                    : "Transfer-Encoding: chunked\r\n\r\n"
                                            + Integer.toHexString(UPLOAD_BYTES)
                                            + "\r\n"
                                            + body
                                            + "\r\n0\r\n\r\n";
                    assertThat(caller.send(head + framed).readAll())
                            .startsWith("HTTP/1.1 200")
                            .endsWith(Integer.toString(UPLOAD_BYTES) + LAST_CHUNK);
                }
            }
        }
    }
}
