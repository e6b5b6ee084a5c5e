package org.apricotgauge.http.client;

import static org.apricotgauge.http.client.ScriptedUpstream.get;
import static org.apricotgauge.http.client.ScriptedUpstream.write;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes of an upstream that are no response in HTTP, or only the beginning of one. */
class MalformedResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String LENGTH = "Content-Length: 5\r\n";
    private static final String END = "\r\nhello";
    private static final int MAX_BYTES = 1_000;

    private static ScriptedUpstream sUpstream;

    @BeforeAll
    static void start() throws Exception {
        sUpstream = new ScriptedUpstream();
    }

    @AfterAll
    static void stop() {
        sUpstream.close();
    }

    private static void assertNoResponse(String bytes, End end) throws Exception {
        CompletableFuture<FetchedResponse> response = sUpstream.fetch(MAX_BYTES);
        try (Socket connection = sUpstream.accept()) {
            write(connection, bytes);
            end.end(connection);
            assertThatThrownBy(() -> get(response)).hasRootCauseInstanceOf(IOException.class);
        }
    }

    /** What an upstream does after it has sent its bytes. */
    @FunctionalInterface
    private interface End {
        void end(Socket connection) throws IOException;
    }

    // Guards against a status that no upstream can mean, which looks like a response.
    @ParameterizedTest
    @ValueSource(
            strings = {"000", "001", "099", "0200", "20", "2", "2000", "20x", "abc", "-20", "+20"})
    void statusOutsideOfTheProtocolIsNoResponse(String status) throws Exception {
        assertNoResponse("HTTP/1.1 " + status + " OK\r\n" + LENGTH + END, connection -> {});
    }

    // Guards against a line that hides a field from one reader and shows it to the next, or that
    // moves the beginning of the body.
    @ParameterizedTest
    @MethodSource("malformedFields")
    void malformedFieldIsNoResponse(String field, boolean isFirst) throws Exception {
        String fields = isFirst ? field + "\r\n" + LENGTH : LENGTH + field + "\r\n";
        assertNoResponse(OK + fields + END, connection -> {});
    }

    static Stream<Arguments> malformedFields() {
        return Stream.of(
                        "X Y: 1",
                        "X : 1",
                        "X\tY: 1",
                        "X\t: 1",
                        "X\0Y: 1",
                        "X\u0001: 1",
                        "X\u001fY: 1",
                        "X\u007fY: 1",
                        "X\"Y: 1",
                        "X(Y): 1",
                        "X\u00e9: 1",
                        "Content-Length : 2",
                        " X: 1",
                        "\tX: 1",
                        "no colon",
                        ": 1",
                        "X: a\0b",
                        "X: a\u0001b",
                        "X: a\rb",
                        "X: a\u007fb")
                .flatMap(field -> Stream.of(true, false).map(first -> Arguments.of(field, first)));
    }

    // Guards against a body whose length depends on who reads it.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nContent-Length: 5",
                "Content-Length: 2, 5",
                "Content-Length: -5",
                "Content-Length: +5",
                "Content-Length: 5x",
                "Content-Length: ",
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked, gzip",
            })
    void contradictoryLengthIsNoResponse(String fields) throws Exception {
        assertNoResponse(OK + fields + "\r\n" + END, connection -> {});
    }

    // Guards against a response whose head never came whole, and that looks like an empty one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "H",
                "HTTP/1.1",
                "HTTP/1.1 ",
                "HTTP/1.1 20",
                "HTTP/1.1 200",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nX-Fie",
                "HTTP/1.1 200 OK\r\nX-Field:",
                "HTTP/1.1 200 OK\r\nX-Field: val",
                "HTTP/1.1 200 OK\r\nX-Field: value\r",
                "HTTP/1.1 200 OK\r\nX-Field: value\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
            })
    void responseThatStopsInItsHeadIsNoResponse(String beginning) throws Exception {
        assertNoResponse(beginning, Socket::shutdownOutput);
        assertNoResponse(beginning, ScriptedUpstream::reset);
    }
}
