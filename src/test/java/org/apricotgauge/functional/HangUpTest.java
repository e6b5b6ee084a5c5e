package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that hang up, and callers that send their next request before the answer. */
class HangUpTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aCallerThatHangsUpFreesTheSlotOfItsTarget(String entry) throws Exception {
        // The caller closes its connection while the target still works on its request.
        // Unnoticed, the request would hold the target's only slot until its deadline, and the
        // next caller would be refused though nobody waits for the first answer any more.
        CountDownLatch never = new CountDownLatch(1);
        RawTarget.Script script =
                (head, body, out) -> {
                    if (head.startsWith("GET /slow")) {
                        never.await();
                    }
                    return write(out, OK);
                };
        try (RawTarget target = RawTarget.start(script);
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1)) {
            try (RawCaller leaving = new RawCaller(hops.vm(entry).callerPort())) {
                leaving.send("GET /slow HTTP/1.1\r\nHost: site\r\n\r\n");
                LocalFleet.await(() -> target.runs() == 1);
            }
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 0);
            // The deadline would have freed the slot, too, and have told the caller "unknown".
            assertThat(hops.vm(entry).count("entry.unknown")).isZero();
            try (RawCaller next = new RawCaller(hops.vm(entry).callerPort())) {
                String answer = next.request("GET", "/fast").readAll();
                assertThat(answer).startsWith("HTTP/1.1 200 OK");
            }
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        // The caller sends three requests at once. What it sent ahead is read while the first is
        // at work, to notice a hang-up, and must not be lost for the requests that follow.
        RawTarget.Script script =
                (head, body, out) -> {
                    String path = head.substring(head.indexOf('/'), head.indexOf(" HTTP"));
                    return write(
                            out,
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + path.length()
                                    + "\r\n\r\n"
                                    + path);
                };
        try (RawTarget target = RawTarget.start(script);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            caller.send("GET /one HTTP/1.1\r\nHost: site\r\n\r\n")
                    .send("GET /two HTTP/1.1\r\nHost: site\r\n\r\n")
                    .request("GET", "/three");

            String answers = caller.readAll();

            assertThat(answers).containsSubsequence("/one", "/two", "/three");
        }
    }

    private static boolean write(OutputStream out, String answer) throws IOException {
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }
}
