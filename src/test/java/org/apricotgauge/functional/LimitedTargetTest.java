package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Targets that name in their answers how many requests a second they take from all nodes. */
class LimitedTargetTest {
    private static final int LIMIT_PER_SECOND = 2;

    /** Within a window of 4 s, one and a half times the limit and five requests are borne. */
    private static final double WINDOW_SECONDS = 4;

    private static final double BORNE_SHARE = 1.5;
    private static final int BORNE_REQUESTS = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String NO_BODY = "Content-Length: 0";

    /** Guards against a target in need that gets as many requests as before. */
    @Test
    void aTargetThatNamesALimitGetsNoMoreFromAllEntriesTogether() throws Exception {
        try (RawTarget target = RawTarget.start(limited());
                Hops hops = new Hops("a", "b", "c").target("t", "b", target.port(), 8)) {
            List<String> answers = new ArrayList<>();
            tellEntries(hops);

            assertIsSpared(
                    target,
                    () -> {
                        for (int i = 0; i < 60; i++) {
                            answers.add(get(hops, i % 2 == 0 ? "a" : "c"));
                        }
                    });

            assertThat(answers).allMatch(one -> one.startsWith("HTTP/1.1 200") || isNotRun(one));
        }
    }

    /** Guards against a limit that is kept by guards alone, while a target has none. */
    @Test
    void aTargetWithoutAGuardGetsNoMoreEither() throws Exception {
        try (RawTarget target = RawTarget.start(limited());
                Hops hops = new Hops("a", "c").target("t", "bare", target.port(), 8)) {
            tellEntries(hops);

            assertIsSpared(
                    target,
                    () -> {
                        for (int i = 0; i < 60; i++) {
                            get(hops, i % 2 == 0 ? "a" : "c");
                        }
                    });
        }
    }

    /** Guards against a limited target that makes callers wait whom another can serve at once. */
    @Test
    void whatALimitedTargetCannotTakeGoesToAnother() throws Exception {
        AtomicInteger others = new AtomicInteger();
        try (RawTarget target = RawTarget.start(limited());
                RawTarget other =
                        RawTarget.start(
                                (head, body, out) -> {
                                    others.incrementAndGet();
                                    out.write(answer("").getBytes());
                                    return true;
                                });
                Hops hops =
                        new Hops("a", "b", "c")
                                .target("t", "b", target.port(), 8)
                                .target("u", "c", other.port(), 8)) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < 60; i++) {
                assertThat(get(hops, "a")).startsWith("HTTP/1.1 200");
            }

            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            assertThat(target.runs()).isLessThanOrEqualTo(borneIn(seconds));
        }
    }

    /** Guards against a limit that is kept for some kinds of requests only. */
    @Test
    void keyedAndUnrepeatableRequestsCountAsAllOthers() throws Exception {
        try (RawTarget target = RawTarget.start(limited());
                Hops hops = new Hops("a", "b", "c").target("t", "b", target.port(), 8)) {
            tellEntries(hops);

            assertIsSpared(
                    target,
                    () -> {
                        for (int i = 0; i < 20; i++) {
                            get(hops, "a");
                            ask(hops, "a", "POST", "/once", NO_BODY);
                            ask(hops, "c", "POST", "/once", NO_BODY, "Idempotency-Key: k" + i);
                        }
                    });
        }
    }

    /** Guards against a burst through a guard that has restarted and forgotten the limit. */
    @Test
    void aGuardThatRestartsHearsTheLimitFromEntriesThatWereTold() throws Exception {
        String oneInTwoSeconds = answer("Apricotgauge-Target-Limit: 0.5\r\n");
        try (RawTarget target = RawTarget.start(RawTarget.always(oneInTwoSeconds));
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 8)) {
            assertThat(get(hops, "a")).startsWith("HTTP/1.1 200");
            hops.restartGuard("b");

            assertThat(get(hops, "a")).matches(LimitedTargetTest::isNotRun);
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    private static void tellEntries(Hops hops) {
        get(hops, "a");
        get(hops, "c");
    }

    /** Asserts that a target gets no more than its limit while requests are sent. */
    private static void assertIsSpared(RawTarget target, Runnable requests) {
        int before = target.runs();
        long startNanos = System.nanoTime();
        requests.run();
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        assertThat(target.runs() - before).isLessThanOrEqualTo(borneIn(seconds));
    }

    private static int borneIn(double seconds) {
        return (int)
                (BORNE_SHARE * LIMIT_PER_SECOND * Math.max(WINDOW_SECONDS, seconds)
                        + BORNE_REQUESTS);
    }

    private static RawTarget.Script limited() {
        return RawTarget.always(answer("Apricotgauge-Target-Limit: " + LIMIT_PER_SECOND + "\r\n"));
    }

    private static String answer(String header) {
        return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 0\r\n\r\n";
    }

    private static boolean isNotRun(String answer) {
        return answer.startsWith("HTTP/1.1 503") && answer.contains("not-run");
    }

    private static String get(Hops hops, String vm) {
        return ask(hops, vm, "GET", "/any");
    }

    private static String ask(Hops hops, String vm, String method, String path, String... more) {
        List<String> headers = new ArrayList<>(List.of(more));
        headers.add("Apricotgauge-Timeout-Millis: 300");
        try (RawCaller caller = new RawCaller(hops.vm(vm).callerPort())) {
            return caller.request(method, path, headers.toArray(String[]::new)).readAll();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
