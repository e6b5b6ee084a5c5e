package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.node.Node;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Malformed, smuggled and oversized requests get a 4xx, end their connection, and run nothing. */
class BadRequestTest {
    private static LocalFleet sFleet;
    private static Node sEntry;
    private static RawTarget sTarget;

    @BeforeAll
    static void start() throws IOException {
        sFleet = new LocalFleet();
        sEntry = sFleet.startNode("vm-a");
        sTarget = RawTarget.start(RawTarget.always("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        sFleet.putTarget("t", "vm-a", sTarget.port(), 3);
        sFleet.settle();
    }

    @AfterAll
    static void stop() throws IOException {
        sFleet.close();
        sTarget.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked, identity\r\n\r\n"
                        + "0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: -1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: s\r\nContent-Length : 3\r\n\r\nabc",
                "GET / HTTP/1.1\r\nHost: s\r\nX-A: b\r\n folded\r\n\r\n",
                "GET / HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: s\r\nHost: t\r\n\r\n",
                "GET /a/..%2fb HTTP/1.1\r\nHost: s\r\n\r\n",
                "NONSENSE\r\n\r\n",
            })
    void isRefusedAndTheConnectionClosed(String request) throws IOException {
        int before = sTarget.runs();
        try (RawCaller caller = new RawCaller(sEntry.callerPort())) {
            String answer = caller.send(request).readAll();
            assertThat(answer).matches("(?s)HTTP/1.1 4\\d\\d .*");
            assertThat(sTarget.runs()).isEqualTo(before);
        }
    }

    @Test
    void anOversizedHeadIsRefused() throws IOException {
        String head = "GET / HTTP/1.1\r\nHost: s\r\nX-Big: " + "a".repeat(20_000) + "\r\n\r\n";
        try (RawCaller caller = new RawCaller(sEntry.callerPort())) {
            assertThat(caller.send(head).readAll()).startsWith("HTTP/1.1 431");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Apricotgauge-Timeout-Millis: soon",
                "Apricotgauge-Timeout-Millis: -5",
                "Apricotgauge-Member: a b",
                "Idempotency-Key: \"\""
            })
    void aBadHeaderIsNamed(String header) throws IOException {
        try (RawCaller caller = new RawCaller(sEntry.callerPort())) {
            String answer = caller.request("POST", "/once", header, "Content-Length: 0").readAll();
            assertThat(answer).startsWith("HTTP/1.1 400");
            assertThat(answer).contains(header.substring(0, header.indexOf(':')));
        }
    }

    @Test
    void aRequestThatComesBackIsALoop() throws IOException {
        try (RawCaller caller = new RawCaller(sEntry.callerPort())) {
            String answer = caller.request("GET", "/", "Via: 1.1 apricotgauge").readAll();
            assertThat(answer).startsWith("HTTP/1.1 508");
        }
    }

    @Test
    void aPathWithoutARouteIsNotFound() throws IOException {
        sFleet.publish(
                new PatchOperation.PutRoute(
                        new Route(
                                "other",
                                "elsewhere",
                                "/",
                                LocalFleet.SERVICE,
                                Priority.NORMAL,
                                Repeatability.BY_METHOD,
                                1_000)),
                new PatchOperation.RemoveRoute("any"));
        sFleet.settle();
        try (RawCaller caller = new RawCaller(sEntry.callerPort())) {
            assertThat(caller.request("GET", "/none").readAll()).startsWith("HTTP/1.1 404");
        } finally {
            sFleet.publish(LocalFleet.route("any", "/", Repeatability.BY_METHOD));
            sFleet.settle();
        }
    }
}
