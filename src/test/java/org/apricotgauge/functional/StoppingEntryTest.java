package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.stop.StopSchedule;
import org.junit.jupiter.api.Test;

/** Requests of an entry whose stop has begun. */
class StoppingEntryTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final long STOP_MILLIS = 10_000;
    private static final long SHORT_STOP_MILLIS = 2_000;
    private static final int ANSWERS_TO_ESTIMATE = 5;
    private static final String SHORT = HeaderNames.TIMEOUT_MILLIS + ": 4000";

    private final CountDownLatch mGo = new CountDownLatch(1);

    /** Guards against a retry that is given more time than its entry has left. */
    @Test
    void aRetryIsGivenNoMoreTimeThanTheEntryHasLeft() throws Exception {
        try (RawTarget breaking = RawTarget.start(this::waitAndBreak);
                RawTarget answering = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", breaking.port(), 3)) {
            CompletableFuture<String> lookup = ask(hops, "GET", "/");
            LocalFleet.await(() -> breaking.runs() == 1);
            hops.target("t", "b", answering.port(), 3).target("u", "b", answering.port(), 3);
            hops.vm("a").stop().begin(STOP_MILLIS);
            mGo.countDown();

            assertThat(lookup.get()).startsWith("HTTP/1.1 200");
            assertThat(timeoutMillis(breaking)).isGreaterThan(STOP_MILLIS);
            assertThat(timeoutMillis(answering)).isBetween(1L, STOP_MILLIS);
        }
    }

    /** Guards against a kept connection on which the next request meets the end of the process. */
    @Test
    void anAnswerAfterTheSignalClosesItsConnection() throws Exception {
        try (RawTarget target = RawTarget.start(this::waitAndAnswer);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            caller.send("GET / HTTP/1.1\r\nHost: site\r\n\r\n");
            LocalFleet.await(() -> target.runs() == 1);
            hops.vm("a").stop().begin(STOP_MILLIS);
            mGo.countDown();

            assertThat(caller.readHead()).startsWith("HTTP/1.1 200").contains("Connection: close");
            assertThat(caller.readAll()).isEqualTo("ok");
        }
    }

    /** Guards against connections that a calm node closes needlessly. */
    @Test
    void anAnswerBeforeTheSignalKeepsItsConnection() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3);
                RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            caller.send("GET / HTTP/1.1\r\nHost: site\r\n\r\n");

            assertThat(caller.readHead()).startsWith("HTTP/1.1 200").doesNotContain("Connection");
            assertThat(caller.read(2)).isEqualTo("ok");
        }
    }

    /** Guards against bookings that are started and can't be told their outcome. */
    @Test
    void whatCannotEndBeforeTheEntryIsToldNotRunAtOnce() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3)) {
            for (int i = 0; i < ANSWERS_TO_ESTIMATE; i++) {
                assertThat(ask(hops, "GET", "/").get()).startsWith("HTTP/1.1 200");
            }
            hops.vm("a").stop().begin(STOP_MILLIS);

            String booking = ask(hops, "POST", "/once").get();

            assertThat(booking).startsWith("HTTP/1.1 503 ").endsWith("not-run: leaving\n");
            assertThat(booking).contains("Retry-After: 1\r\n");
            assertThat(hops.vm("a").count("entry.stop.refused")).isEqualTo(1);
            assertThat(target.runs()).isEqualTo(ANSWERS_TO_ESTIMATE);
            assertThat(ask(hops, "GET", "/").get()).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against a run that fails, seconds before its end, for the calls that it makes. */
    @Test
    void callsOfARunThatIsInFlightAreServedToTheEnd() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3).running("r1")) {
            hops.vm("a").stop().begin(STOP_MILLIS);
            hops.vm("a").entry().drain();

            assertThat(ask(hops, "GET", "/", SHORT, NestedCallDialect.PARENT_ID + ": r1").get())
                    .startsWith("HTTP/1.1 200");
            assertThat(ask(hops, "GET", "/", SHORT).get()).endsWith("not-run: leaving\n");
            hops.vm("a").entry().endAll();
            assertThat(ask(hops, "GET", "/", SHORT, NestedCallDialect.PARENT_ID + ": r1").get())
                    .endsWith("not-run: leaving\n");
        }
    }

    /** Guards against a run in flight that fails as the booking it makes is refused needlessly. */
    @Test
    void aBookingThatARunInFlightMakesIsServedAsTheStopBegins() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3).running("r1")) {
            hops.vm("a").stop().begin(STOP_MILLIS);

            assertThat(ask(hops, "POST", "/once", NestedCallDialect.PARENT_ID + ": r1").get())
                    .startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against a booking that is taken late in the grace time and cut at its end. */
    @Test
    void aCallThatCannotEndIsToldNotRunLateInTheStop() throws Exception {
        try (RawTarget target = RawTarget.start(RawTarget.always(OK));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3).running("r1")) {
            StopSchedule stop = hops.vm("a").stop();
            stop.begin(SHORT_STOP_MILLIS);
            LocalFleet.await(() -> stop.elapsedMillis() > stop.remainingMillis());

            assertThat(ask(hops, "POST", "/once", NestedCallDialect.PARENT_ID + ": r1").get())
                    .startsWith("HTTP/1.1 503 ")
                    .endsWith("not-run: leaving\n");
            assertThat(target.runs()).isZero();
        }
    }

    /** Guards against ended requests that no figure shows to operators. */
    @Test
    void requestsThatMeetTheEndOfTheEntryAreCounted() throws Exception {
        try (RawTarget target = RawTarget.start(this::waitAndAnswer);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3)) {
            CompletableFuture<String> booking = ask(hops, "POST", "/once");
            LocalFleet.await(() -> target.runs() == 1);

            hops.vm("a").entry().endAll();

            assertThat(booking.get()).endsWith("unknown: started\n");
            assertThat(hops.vm("a").count("entry.stop.ended")).isEqualTo(1);
            mGo.countDown();
        }
    }

    private static long timeoutMillis(RawTarget target) {
        Matcher matcher =
                Pattern.compile(HeaderNames.TIMEOUT_MILLIS.toLowerCase(Locale.ROOT) + ": (\\d+)")
                        .matcher(target.heads().get(0).toLowerCase(Locale.ROOT));
        assertThat(matcher.find()).isTrue();
        return Long.parseLong(matcher.group(1));
    }

    private boolean waitAndAnswer(String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        mGo.await();
        out.write(OK.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private boolean waitAndBreak(String head, byte[] body, OutputStream out)
            throws InterruptedException {
        mGo.await();
        return false;
    }

    private static CompletableFuture<String> ask(
            Hops hops, String method, String path, String... headers) {
        String[] all = Arrays.copyOf(headers, headers.length + 1);
        all[headers.length] = "Content-Length: 0";
        int port = hops.vm("a").callerPort();
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = new RawCaller(port)) {
                        return caller.request(method, path, all).readAll();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
