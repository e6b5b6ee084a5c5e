package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.http.HeaderNames;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests at work at a target, of which their entry or guard hears nothing for a while. */
class UnbrokenRunTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final long STOP_MILLIS = 15_000;
    private static final long USEFUL_MILLIS = 400;
    private static final String DEADLINE = HeaderNames.TIMEOUT_MILLIS + ": 12000";

    private final CountDownLatch mGo = new CountDownLatch(1);

    @AfterEach
    void endRuns() {
        mGo.countDown();
    }

    /** Guards against a run that its entry cancels because the acknowledgement is late. */
    @Test
    void aLookupWhoseAcknowledgementIsLateIsAnsweredByItsFirstRun() throws Exception {
        try (RawTarget target = RawTarget.start(this::answerWhenTold);
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 3)) {
            int runsBefore = openConnection(hops, target);
            hops.vm("a").stop().begin(STOP_MILLIS);
            hops.vm("b").relay().silence(Relay.Way.BACK);
            CompletableFuture<String> lookup = ask(hops, OVER_HOP, "GET", "/wait");
            LocalFleet.await(() -> target.runs() > runsBefore);
            hops.vm("b").guard().drain();

            LocalFleet.await(() -> hops.vm("a").count("entry.path_faults") > 0);
            hops.vm("b").relay().release();
            mGo.countDown();

            assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("ok");
            assertThat(target.runs()).isEqualTo(runsBefore + 1);
        }
    }

    /** Guards against a run that its entry gives up because nobody answers the fence. */
    @Test
    void aBookingWhoseGuardIsSilentIsAnsweredByItsRun() throws Exception {
        try (RawTarget target = RawTarget.start(this::answerWhenTold);
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 3)) {
            int runsBefore = openConnection(hops, target);
            hops.vm("b").relay().silenceAll(Relay.Way.BACK);
            CompletableFuture<String> booking = ask(hops, OVER_HOP, "POST", "/once/wait");
            LocalFleet.await(() -> target.runs() > runsBefore);

            LocalFleet.await(() -> hops.vm("a").count("entry.fences") > 1 || booking.isDone());
            hops.vm("b").relay().release();
            mGo.countDown();

            assertThat(booking.get()).startsWith("HTTP/1.1 200").endsWith("ok");
            assertThat(target.runs()).isEqualTo(runsBefore + 1);
        }
    }

    /** Guards against a booking with a key whose run ends as its owner is asked once more. */
    @Test
    void aBookingWithAKeyWhoseOwnerIsSilentIsAnsweredByItsRun() throws Exception {
        try (RawTarget target = RawTarget.start(this::answerWhenTold);
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 3)) {
            int runsBefore = openConnection(hops, target);
            hops.vm("b").relay().silence(Relay.Way.BACK);
            CompletableFuture<String> booking =
                    ask(hops, OVER_HOP, "POST", "/once/wait", IdempotencyKey.HEADER + ": k-1");
            LocalFleet.await(() -> target.runs() > runsBefore);

            LocalFleet.await(() -> hops.vm("a").count("entry.retries") > 0 || booking.isDone());
            hops.vm("b").relay().release();
            mGo.countDown();

            assertThat(booking.get()).startsWith("HTTP/1.1 200").endsWith("ok");
            assertThat(target.runs()).isEqualTo(runsBefore + 1);
        }
    }

    /** Guards against a caller that waits to its deadline for a guard whose VM is lost. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /wait", "POST /once/wait"})
    void aRequestWhoseGuardIsGoneIsToldUnknownBeforeItsDeadline(String request) throws Exception {
        String[] parts = request.split(" ");
        try (RawTarget target = RawTarget.start(this::answerWhenTold);
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 3)) {
            int runsBefore = openConnection(hops, target);
            CompletableFuture<String> answer = ask(hops, OVER_HOP, parts[0], parts[1]);
            LocalFleet.await(() -> target.runs() > runsBefore);

            hops.vm("b").relay().loseVm();

            assertThat(answer.get()).startsWith("HTTP/1.1 504").doesNotContain("started");
            assertThat(hops.vm("a").count("entry.guards_gone")).isEqualTo(1);
        }
    }

    /** Guards against a run that its guard ends as hung though no other target takes over. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aRunThatSeemsHungAnswersIfNoOtherTargetTakesOver(String entry) throws Exception {
        try (RawTarget slow = RawTarget.start(this::answerWhenTold);
                RawTarget other = RawTarget.start(RawTarget.always(OK));
                Hops hops =
                        Hops.guardsOnly("a", "b", "c")
                                .handOver()
                                .usefulRoute("/quick/", USEFUL_MILLIS)
                                .target("slow", "b", slow.port(), 4)) {
            CompletableFuture<String> lookup = ask(hops, entry, "GET", "/quick/wait");
            LocalFleet.await(() -> slow.runs() == 1);
            hops.vm("c").guard().drain();
            hops.target("other", "c", other.port(), 4);

            LocalFleet.await(() -> hops.vm("c").count("guard.stop.declined") > 0);
            LocalFleet.await(
                    () -> slow.runs() > 1 || hops.vm("c").count("guard.stop.declined") > 1);
            mGo.countDown();

            assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("ok");
            assertThat(slow.runs()).isEqualTo(1);
        }
    }

    /** Opens a connection to the guard; returns how many runs that took. */
    private int openConnection(Hops hops, RawTarget target) throws Exception {
        assertThat(ask(hops, OVER_HOP, "GET", "/").get()).endsWith("ok");
        hops.awaitIdleToGuards(1);
        return target.runs();
    }

    private boolean answerWhenTold(String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        if (head.contains("/wait")) {
            mGo.await();
        }
        out.write(OK.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private static CompletableFuture<String> ask(
            Hops hops, String entry, String method, String path, String... headers) {
        int port = hops.vm(entry).callerPort();
        String[] all = Arrays.copyOf(headers, headers.length + 2);
        all[headers.length] = "Content-Length: 0";
        all[headers.length + 1] = DEADLINE;
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
