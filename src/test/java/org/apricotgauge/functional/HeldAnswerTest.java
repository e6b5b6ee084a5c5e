package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that break off within their body. */
class HeldAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    private static final String HALF = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe";
    private static final String LONG = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhe";

    /** Guards against a status with half of the answer while another target can serve. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aSmallAnswerThatBreaksOffIsFetchedElsewhere(String entry) throws Exception {
        try (RawTarget breaking = RawTarget.start(breaksAfter(HALF));
                RawTarget answering = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").handOver().target("t", "b", breaking.port(), 3);
                RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
            hops.target("u", "b", answering.port(), 3).reportFull(entry, "u");

            String answer = caller.request("GET", "/").readAll();

            assertThat(breaking.runs()).isEqualTo(1);
            assertThat(answer).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nhello");
        }
    }

    /** Guards against a booking that is run twice because its answer broke off. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void theAnswerToABookingIsNotFetchedTwice(String entry) throws Exception {
        try (RawTarget breaking = RawTarget.start(breaksAfter(HALF));
                Hops hops = new Hops("a", "b").handOver().target("t", "b", breaking.port(), 3);
                RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
            String answer = caller.request("POST", "/once", "Content-Length: 0").readAll();

            assertThat(answer).doesNotContain("hello");
            assertThat(breaking.runs()).isEqualTo(1);
        }
    }

    /** Guards against long answers that are kept in memory, and told late. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void theHeadOfALongAnswerIsNotHeld(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target =
                        RawTarget.start(
                                (head, body, out) -> {
                                    out.write(LONG.getBytes(StandardCharsets.US_ASCII));
                                    out.flush();
                                    go.await();
                                    return false;
                                });
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 3);
                RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
            caller.request("GET", "/");

            assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            go.countDown();
        }
    }

    /** Guards against a target that works on for a caller that left while its answer was held. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aCallerThatLeavesDuringAHeldAnswerIsNoticed(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target =
                        RawTarget.start(
                                (head, body, out) -> {
                                    out.write(HALF.getBytes(StandardCharsets.US_ASCII));
                                    out.flush();
                                    go.await();
                                    return false;
                                });
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 3)) {
            try (RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
                caller.request("GET", "/");
                LocalFleet.await(() -> target.runs() == 1);
            }

            LocalFleet.await(() -> hops.vm(entry).entry().inFlight() == 0);
            go.countDown();
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    private static RawTarget.Script breaksAfter(String part) {
        return (head, body, out) -> {
            write(out, part);
            return false;
        };
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
