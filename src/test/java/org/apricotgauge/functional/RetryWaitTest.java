package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.Test;

/** Requests that must not run twice, at targets that shed them, over real sockets. */
class RetryWaitTest {
    private static final String SHED =
            "HTTP/1.1 503 Busy\r\n" + NestedCallDialect.SHED + ": 1\r\nContent-Length: 0\r\n\r\n";
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int ALWAYS = Integer.MAX_VALUE;

    /** Sheds the first requests that must not run twice, and serves all others. */
    private static RawTarget.Script shedding(int count) {
        AtomicInteger left = new AtomicInteger(count);
        return (head, body, out) -> {
            boolean sheds = head.startsWith("POST") && left.getAndDecrement() > 0;
            out.write((sheds ? SHED : SERVED).getBytes(StandardCharsets.ISO_8859_1));
            return true;
        };
    }

    private static String ask(Hops hops, String method, long timeoutMillis) {
        String timeout = "Apricotgauge-Timeout-Millis: " + timeoutMillis;
        try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            return caller.request(method, "/once", timeout).readAll();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static CompletableFuture<String> askLater(Hops hops, long timeoutMillis) {
        return CompletableFuture.supplyAsync(() -> ask(hops, "POST", timeoutMillis));
    }

    private static long waiting(Hops hops) {
        return hops.vm("a").count("entry.retry.waiting");
    }

    /** Guards against the refusal of a request that has time left until a retry is allowed. */
    @Test
    void aShedRequestWaitsForARetryAndIsServed() throws Exception {
        try (RawTarget target = RawTarget.start(shedding(2));
                Hops hops = Hops.rankedRetries("a", "b").target("t", "b", target.port(), 8)) {
            CompletableFuture<String> answer = askLater(hops, 10_000);
            // Each of these allows a retry at the guard, which pays for what waits.
            while (!answer.isDone()) {
                assertThat(ask(hops, "GET", 1_000)).startsWith("HTTP/1.1 200");
            }
            assertThat(answer.get()).startsWith("HTTP/1.1 200");
            assertThat(waiting(hops)).isZero();
        }
    }

    /** Guards against a wait to the deadline, and against a return that no caller would honour. */
    @Test
    void aRequestWithoutARetryIsToldNotRunAndWhenToReturn() throws Exception {
        try (RawTarget target = RawTarget.start(shedding(ALWAYS));
                Hops hops = Hops.rankedRetries("a", "b").target("t", "b", target.port(), 8)) {
            String answer = ask(hops, "POST", 4_000);

            assertThat(answer).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(answer)
                    .containsPattern("Apricotgauge-Retry-After-Millis: [12]?[0-9]{1,2}\r");
            assertThat(target.runs()).isLessThanOrEqualTo(3);
        }
    }

    /** Guards against callers that wait at an entry which ends. */
    @Test
    void whatWaitsIsToldNotRunWhenItsNodeStops() throws Exception {
        try (RawTarget target = RawTarget.start(shedding(ALWAYS));
                Hops hops = Hops.rankedRetries("a", "b").target("t", "b", target.port(), 8)) {
            CompletableFuture<String> answer = askLater(hops, 15_000);
            LocalFleet.await(() -> waiting(hops) > 0);
            hops.vm("a").stop().begin(1_000);

            assertThat(answer.get()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(hops.vm("a").stop().remainingMillis()).isPositive();
        }
    }

    /** Guards against a wait for a target that has gone, and for no other. */
    @Test
    void whatWaitsIsToldNotRunWhenItsLastTargetLeaves() throws Exception {
        try (RawTarget target = RawTarget.start(shedding(ALWAYS));
                Hops hops = Hops.rankedRetries("a", "b").target("t", "b", target.port(), 8)) {
            CompletableFuture<String> answer = askLater(hops, 15_000);
            LocalFleet.await(() -> waiting(hops) > 0);
            hops.leave("t");

            assertThat(answer.get(10, TimeUnit.SECONDS))
                    .startsWith("HTTP/1.1 503")
                    .contains("not-run");
        }
    }

    /** Guards against a change for deployments whose retries don't go by rank. */
    @Test
    void withoutRanksNothingWaits() throws Exception {
        try (RawTarget target = RawTarget.start(shedding(ALWAYS));
                Hops hops = Hops.guardsOnly("a", "b").target("t", "b", target.port(), 8)) {
            String answer = ask(hops, "POST", 4_000);

            assertThat(answer).startsWith("HTTP/1.1 503").contains("Retry-After: 1\r");
            assertThat(waiting(hops)).isZero();
        }
    }
}
