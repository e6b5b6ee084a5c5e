package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.quarantine.BodyHash;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.junit.jupiter.api.Test;

/** Copies of a request that is held while they are on their way to a target. */
class HeldRequestTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final CountDownLatch mGo = new CountDownLatch(1);

    // Guards against a copy that got its slot before the third crash, and has no connection yet.
    @Test
    void aCopyThatWaitsForAConnectionDoesNotStart() throws Exception {
        try (RawTarget target = RawTarget.start(afterGo());
                Hops hops = new Hops(1, "a", "b").target("t", "b", target.port(), 2)) {
            CompletableFuture<String> running = ask(hops, "GET", "/first", "");
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = ask(hops, "GET", "/lethal", "");
            LocalFleet.await(() -> hops.waitingForTargets() == 1);

            hold(hops, "b", new Fingerprint(headOf("GET", "/lethal"), Fingerprint.NO_BODY));
            mGo.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("quarantined");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    // Guards against the same in the guard's queue.
    @Test
    void aCopyThatWaitsForASlotDoesNotStart() throws Exception {
        try (RawTarget target = RawTarget.start(afterGo());
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            CompletableFuture<String> running = ask(hops, "GET", "/first", "");
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> waiting = ask(hops, "GET", "/lethal", "");
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 2);

            hold(hops, "b", new Fingerprint(headOf("GET", "/lethal"), Fingerprint.NO_BODY));
            mGo.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(waiting.get()).startsWith("HTTP/1.1 503").contains("quarantined");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    // Guards against a copy that goes on to a fourth target before the end of the third is known.
    @Test
    void theCopyThatCrashesTheThirdTargetGoesNoFurther() throws Exception {
        Fingerprint lethal = new Fingerprint(headOf("GET", "/lethal"), Fingerprint.NO_BODY);
        try (CrashingTarget one = CrashingTarget.start((head, body) -> head.contains("/lethal"));
                CrashingTarget other =
                        CrashingTarget.start((head, body) -> head.contains("/lethal"));
                Hops hops =
                        new Hops("a", "b", "c")
                                .target("one", "b", one.port(), 1)
                                .target("other", "c", other.port(), 1)) {
            for (String guard : List.of("b", "c")) {
                hops.vm(guard).quarantine().recordCrash(List.of(lethal), 1);
                hops.vm(guard).quarantine().recordCrash(List.of(lethal), 2);
            }

            String answer = ask(hops, "GET", "/lethal", "").get();

            assertThat(answer).startsWith("HTTP/1.1 504").contains("quarantined");
            assertThat(one.lethalRuns() + other.lethalRuns()).isEqualTo(1);
        }
    }

    // Guards against a body that was on its way when another with its head was held: it may be the
    // same one. It is told "not run", which its entry takes for a reason to send it again.
    @Test
    void aBodyThatWasNotReadAheadDoesNotStartBesideAHeldOne() throws Exception {
        try (RawTarget target = RawTarget.start(afterGo());
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            CompletableFuture<String> running = ask(hops, "GET", "/first", "");
            LocalFleet.await(() -> target.runs() == 1);
            CompletableFuture<String> lethal = ask(hops, "POST", "/once", "lethal");
            LocalFleet.await(() -> hops.vm("b").guard().inFlight() == 2);

            hold(hops, "b", new Fingerprint(headOf("POST", "/once"), hashOf("lethal")));
            mGo.countDown();

            assertThat(running.get()).startsWith("HTTP/1.1 200");
            assertThat(lethal.get()).startsWith("HTTP/1.1 503").contains("quarantined");
            assertThat(ask(hops, "POST", "/once", "harmless").get()).startsWith("HTTP/1.1 200");
            assertThat(target.runs()).isEqualTo(2);
        }
    }

    // Guards against a long body that is cut or changed by being read ahead.
    @Test
    void aLongBodyWithAHeldHeadArrivesWhole() throws Exception {
        String body = "x".repeat(3 * BodyHash.MAX_HASHED_BYTES);
        CompletableFuture<String> seen = new CompletableFuture<>();
        RawTarget.Script script =
                (head, bytes, out) -> {
                    seen.complete(new String(bytes, StandardCharsets.US_ASCII));
                    out.write(OK.getBytes(StandardCharsets.US_ASCII));
                    return true;
                };
        try (RawTarget target = RawTarget.start(script);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 1)) {
            Fingerprint other = new Fingerprint(headOf("POST", "/once"), hashOf("lethal"));
            hold(hops, "a", other);
            hold(hops, "b", other);

            assertThat(ask(hops, "POST", "/once", body).get()).startsWith("HTTP/1.1 200");
            assertThat(seen.get()).isEqualTo(body);
        }
    }

    private RawTarget.Script afterGo() {
        return (head, body, out) -> {
            mGo.await();
            out.write(OK.getBytes(StandardCharsets.US_ASCII));
            return true;
        };
    }

    private static void hold(Hops hops, String vm, Fingerprint fingerprint) {
        for (int crashId = 0; crashId < 3; crashId++) {
            hops.vm(vm).quarantine().recordCrash(List.of(fingerprint), crashId);
        }
    }

    private static long headOf(String method, String path) {
        return Fingerprint.hashHead(method, "site", path, "anonymous");
    }

    private static long hashOf(String body) {
        BodyHash hash = new BodyHash();
        hash.update(StandardCharsets.US_ASCII.encode(body));
        hash.end();
        return hash.value();
    }

    private static CompletableFuture<String> ask(
            Hops hops, String method, String path, String body) {
        int port = hops.vm("a").callerPort();
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = new RawCaller(port)) {
                        return caller.request(method, path, "Content-Length: " + body.length())
                                .send(body)
                                .readAll();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
