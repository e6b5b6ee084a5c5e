package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A guard that stops, or whose target leaves, while one request is at its target and another waits
 * for the slot.
 */
class StoppingGuardTest {
    /** Shorter than the deadline of the requests here, which is 20 s. */
    private static final long STOP_MILLIS = 8_000;

    /** Longer than a hand-over before the end, and as short as possible. */
    private static final long SHORT_STOP_MILLIS = 900;

    private static final long LONG_STOP_MILLIS = 30_000;

    /** Ends before a booking's deadline, and long after a lookup's. */
    private static final long DECLINING_STOP_MILLIS = 15_000;

    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatWaitsAtAStoppingGuardIsToldNotRunAndWhatRunsEnds(String entry) throws Exception {
        // Two bookings come to a target with one slot, then its node is stopped. The first is at
        // work and must end in order. The second, if it waited on, would start late in the stop and
        // be cut: its caller could not know whether it was booked.
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1)) {
            CompletableFuture<String> running = book(hops, entry);
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = book(hops, entry);
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 2);

            hops.vm("b").guard().drain();

            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("not-run");
            go.countDown();
            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatWaitsForATargetThatBeginsToLeaveNeverReachesIt(String entry) throws Exception {
        // Two bookings come to a target with one slot, then the target says that it leaves. The
        // second gets the slot seconds later, when the target may be gone: its caller would wait
        // for nothing. It is told "not run" instead; with another target it would be sent there.
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1)) {
            CompletableFuture<String> running = book(hops, entry);
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = book(hops, entry);
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 2);

            hops.leave("t");
            go.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatWaitsForAConnectionToATargetThatBeginsToLeaveNeverReachesIt(String entry)
            throws Exception {
        // Two bookings come to a target with two slots, and its guard has one connection to it. The
        // second booking has its slot, and waits for the connection, when the target says that it
        // leaves. It is told "not run"; it would reach the target after the target's last moment.
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops(1, "a", "b").handOver().target("t", "b", target.port(), 2)) {
            CompletableFuture<String> running = book(hops, entry);
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = book(hops, entry);
            LocalFleet.await(() -> hops.waitingForTargets() == 1);

            hops.leave("t");
            go.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    /** Guards against work for a target that may have left since the guard last heard of it. */
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aGuardThatHasNotHeardOfTheSiteForTooLongSendsNothing(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(0);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1)) {
            hops.setSiteCurrent(false);
            assertThat(book(hops, entry).get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(target.runs()).isZero();

            hops.setSiteCurrent(true);
            assertThat(book(hops, entry).get()).startsWith("HTTP/1.1 200");
        }
    }

    // Guards against a booking that a stopping guard starts though its own end would cut the run.
    @Test
    void aStoppingGuardStartsNothingThatItsEndWouldCut() throws Exception {
        try (RawTarget target = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            hops.vm("b").stop().begin(STOP_MILLIS);

            assertThat(book(hops).get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(target.runs()).isZero();
            assertThat(hops.vm("b").count("guard.stop.declined")).isPositive();
        }
    }

    // Guards against a stopping guard that sends all away, and with it the work that it could do.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aStoppingGuardStartsWhatEndsInTime(String entry) throws Exception {
        try (RawTarget target = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops = new Hops("a", "b", "c").handOver().target("t", "b", target.port(), 1)) {
            hops.vm("b").stop().begin(LONG_STOP_MILLIS);

            assertThat(book(hops, entry).get()).startsWith("HTTP/1.1 200");
            assertThat(hops.vm("b").count("guard.stop.declined")).isZero();
        }
    }

    // Guards against a decline of one request that costs others the guard, which still serves.
    @Test
    void whatFitsIsServedAfterAnotherRequestWasDeclined() throws Exception {
        try (RawTarget target = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 1)) {
            hops.vm("b").stop().begin(DECLINING_STOP_MILLIS);

            assertThat(ask(hops, OVER_HOP, "GET", "/lookup", "2000").get())
                    .startsWith("HTTP/1.1 200");
            assertThat(book(hops).get()).startsWith("HTTP/1.1 503").contains("leaving");
            assertThat(ask(hops, OVER_HOP, "GET", "/lookup", "2000").get())
                    .startsWith("HTTP/1.1 200");
        }
    }

    // Guards against a process that ends too soon as a declined request is counted out twice.
    @Test
    void aRequestThatIsDeclinedAsTheGuardDrainsEndsOnce() throws Exception {
        try (RawTarget target = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            HopVm stopping = hops.vm("b");
            AtomicBoolean drained = new AtomicBoolean();
            stopping.stop().begin(STOP_MILLIS);
            stopping.onStopRead(
                    () -> {
                        if (stopping.guard().inFlight() > 0 && !drained.getAndSet(true)) {
                            stopping.guard().drain();
                        }
                    });

            assertThat(book(hops).get()).contains("not-run");
            assertThat(drained).isTrue();
            LocalFleet.await(() -> stopping.guard().inFlight() <= 0);
            assertThat(stopping.guard().inFlight()).isZero();
        }
    }

    // Guards against a booking that waits at a stopping guard until its end would cut the run.
    @Test
    void whatWaitsIsToldNotRunOnceItCanNoLongerEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            CompletableFuture<String> running = book(hops);
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = book(hops);
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 2);

            hops.vm("b").stop().begin(STOP_MILLIS);

            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("not-run");
            go.countDown();
            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    // Guards against a lookup that is cut by the end of its guard though another target is well.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatMayRepeatGoesElsewhereBeforeTheGuardEnds(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget slow = RawTarget.start(answersAfter(go));
                RawTarget well = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops =
                        new Hops("a", "b", "c").handOver().target("slow", "b", slow.port(), 1)) {
            CompletableFuture<String> lookup = ask(hops, entry, "GET", "/lookup");
            LocalFleet.await(() -> slow.runs() == 1);
            hops.target("well", "c", well.port(), 1);

            hops.vm("b").stop().begin(SHORT_STOP_MILLIS);

            assertThat(lookup.get()).startsWith("HTTP/1.1 200");
            assertThat(well.runs()).isEqualTo(1);
            assertThat(hops.vm("b").count("guard.stop.handed_over")).isEqualTo(1);
            go.countDown();
        }
    }

    // Guards against a booking whose caller is told nothing, or a server's 500, as its guard ends.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatMayNotRepeatIsToldUnknownAtTheLastMoment(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget slow = RawTarget.start(answersAfter(go));
                RawTarget well = RawTarget.start(answersAfter(new CountDownLatch(0)));
                Hops hops =
                        new Hops("a", "b", "c").handOver().target("slow", "b", slow.port(), 1)) {
            CompletableFuture<String> booking = book(hops, entry);
            LocalFleet.await(() -> slow.runs() == 1);
            hops.target("well", "c", well.port(), 1);

            hops.vm("b").stop().begin(SHORT_STOP_MILLIS);

            assertThat(booking.get()).startsWith("HTTP/1.1 504").contains("started");
            assertThat(well.runs()).isZero();
            assertThat(hops.vm("b").count("guard.stop.unfinished")).isEqualTo(1);
            go.countDown();
        }
    }

    // Guards against an answer that is cut in its middle before the process ends.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void anAnswerThatHasBegunGoesOnPastTheLastMoment(String entry) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        RawTarget.Script halves =
                (head, body, out) -> {
                    out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none"));
                    out.flush();
                    go.await();
                    out.write(bytes("two"));
                    return true;
                };
        try (RawTarget target = RawTarget.start(halves);
                Hops hops = new Hops("a", "b").handOver().target("t", "b", target.port(), 1);
                RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
            caller.request("POST", "/once", "Content-Length: 0");
            assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
            hops.vm("b").stop().begin(0);
            LocalFleet.await(() -> hops.vm("b").stop().remainingMillis() == 0);
            go.countDown();

            assertThat(caller.read(6)).isEqualTo("onetwo");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    // Guards against an entry that goes on choosing a guard which has begun to stop.
    @Test
    void aStoppingGuardTellsItsEndWithEachAcknowledgementAndAnswer() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (RawTarget target = RawTarget.start(answersAfter(go));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            hops.vm("b").stop().begin(60_000);

            CompletableFuture<String> running = book(hops);
            LocalFleet.await(() -> hops.vm("a").peerStops().count() == 1);
            assertThat(target.runs()).isLessThanOrEqualTo(1);
            go.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200").doesNotContain("Stop-Millis");
        }
    }

    private static RawTarget.Script answersAfter(CountDownLatch go) {
        return (head, body, out) -> {
            go.await();
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
            return true;
        };
    }

    private static CompletableFuture<String> book(Hops hops) {
        return book(hops, OVER_HOP);
    }

    private static CompletableFuture<String> book(Hops hops, String entry) {
        return ask(hops, entry, "POST", "/once");
    }

    private static CompletableFuture<String> ask(
            Hops hops, String entry, String method, String path) {
        return ask(hops, entry, method, path, "20000");
    }

    private static CompletableFuture<String> ask(
            Hops hops, String entry, String method, String path, String timeoutMillis) {
        int port = hops.vm(entry).callerPort();
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = new RawCaller(port)) {
                        return caller.request(
                                        method,
                                        path,
                                        "Content-Length: 0",
                                        HeaderNames.TIMEOUT_MILLIS + ": " + timeoutMillis)
                                .readAll();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
