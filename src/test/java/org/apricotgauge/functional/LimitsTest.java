package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Slots, deadlines, keys and stops over both hops. */
class LimitsTest {
    private final CountDownLatch mGo = new CountDownLatch(1);
    private Hops mHops;
    private RawTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mHops = new Hops("vm-a", "vm-b");
        mTarget =
                RawTarget.start(
                        (head, body, out) -> {
                            if (head.contains("/wait")) {
                                mGo.await();
                            }
                            String length = Integer.toString(body.length);
                            String answer =
                                    "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nContent-Length: "
                                            + length.length()
                                            + "\r\n\r\n"
                                            + length;
                            out.write(answer.getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mHops.close();
        mTarget.close();
    }

    private String ask(String vm, String text) throws Exception {
        try (RawCaller caller = new RawCaller(mHops.vm(vm).callerPort())) {
            return caller.send(text).readAll();
        }
    }

    private static String post(String path, String body, String... headers) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: site\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + String.join("\r\n", headers)
                + (headers.length == 0 ? "" : "\r\n")
                + "\r\n"
                + body;
    }

    @Test
    void aRequestThatCannotMakeItsDeadlineIsRefusedAsNotRun() throws Exception {
        // The second caller is told "not run" and when to come back, and its request never runs.
        // The only slot is taken by a request that lasts; the second one's time is too short.
        mHops.target("t", "vm-b", mTarget.port(), 1);
        CompletableFuture<String> first = async("vm-a", post("/once/wait", ""));
        LocalFleet.await(() -> mTarget.runs() == 1);

        String answer = ask("vm-a", post("/once", "", "Apricotgauge-Timeout-Millis: 300"));

        assertThat(answer).startsWith("HTTP/1.1 503").contains("Apricotgauge-Outcome: not-run");
        assertThat(answer).contains("Retry-After: ");
        mGo.countDown();
        assertThat(first.get()).startsWith("HTTP/1.1 200");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    @Test
    void aDeadlineEndsARequestAtOnce() throws Exception {
        // The caller is told "unknown" when its time is over, though its target never answers.
        mHops.target("t", "vm-b", mTarget.port(), 1);
        String answer = ask("vm-a", post("/once/wait", "", "Apricotgauge-Timeout-Millis: 400"));
        assertThat(answer).startsWith("HTTP/1.1 504").contains("Apricotgauge-Outcome: unknown");
    }

    @Test
    void oneKeyRunsOnceThroughDifferentNodes() throws Exception {
        // Both callers submit the same booking, through two nodes, at once and again later. It runs
        // once; whoever comes while it runs is told so, whoever comes later gets the first answer.
        mHops.target("t1", "vm-a", mTarget.port(), 3).target("t2", "vm-b", mTarget.port(), 3);
        String booking = post("/once/wait", "ride", "Idempotency-Key: \"k1\"");
        CompletableFuture<String> first = async("vm-a", booking);
        LocalFleet.await(() -> mTarget.runs() == 1);

        assertThat(ask("vm-b", booking)).startsWith("HTTP/1.1 409").contains("Retry-After: ");

        mGo.countDown();
        assertThat(first.get()).startsWith("HTTP/1.1 200").endsWith("4");
        String again = ask("vm-b", booking);
        assertThat(again).startsWith("HTTP/1.1 200").contains("text/x").endsWith("4");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    @Test
    void aKeyOfAnotherRequestIsRefused() throws Exception {
        mHops.target("t1", "vm-a", mTarget.port(), 3);
        assertThat(ask("vm-a", post("/once/x", "ride", "Idempotency-Key: k2")))
                .startsWith("HTTP/1.1 200");
        assertThat(ask("vm-b", post("/once/y", "ride", "Idempotency-Key: k2")))
                .startsWith("HTTP/1.1 422");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    @Test
    void aKeyWhoseHomeIsNotSeenIsNotRun() throws Exception {
        // Some callers are told "not run" and to come back. No node is seen beside one of the two
        // targets, so its keys have no memory here; another entry may see it and run them.
        mHops.target("t1", "vm-a", mTarget.port(), 3).target("t2", "vm-unseen", mTarget.port(), 3);
        int ran = 0;
        for (int i = 0; i < 12; i++) {
            String answer = ask("vm-b", post("/once/x", "ride", "Idempotency-Key: k" + i));
            boolean ok = answer.startsWith("HTTP/1.1 200");
            assertThat(ok || answer.contains("not-run: key-home-unreachable")).isTrue();
            ran += ok ? 1 : 0;
        }
        assertThat(ran).isBetween(1, 11);
        assertThat(mTarget.runs()).isEqualTo(ran);
    }

    @Test
    void aKeyedRequestForAnEarlierRunOfItsHomeIsNotRun() throws Exception {
        // An entry sends a booking a second time to the key's home. The home restarted, or slept
        // for longer than it remembers keys; it can't know the first try, so it must not run this.
        mHops.target("t", "vm-b", mTarget.port(), 3);
        String keyed =
                post(
                        "/once",
                        "ride",
                        "Idempotency-Key: k3",
                        "Apricotgauge-Control: keyed",
                        "Apricotgauge-Attempt: vm-a:1:0;dead;0");
        try (RawCaller entry = new RawCaller(mHops.vm("vm-b").relay().port())) {
            assertThat(entry.send(keyed).readAll())
                    .startsWith("HTTP/1.1 503")
                    .contains("Apricotgauge-Outcome: not-run")
                    .contains("guard-restarted");
        }
        assertThat(mTarget.runs()).isZero();
    }

    @Test
    void aLeavingGuardFinishesWhatItHasAndRefusesTheRestAsNotRun() throws Exception {
        // The first caller's request, in flight when the stop begins, is answered whole; the second
        // is told "not run", and is not run.
        mHops.target("t", "vm-b", mTarget.port(), 3);
        CompletableFuture<String> first = async("vm-a", post("/once/wait", ""));
        LocalFleet.await(() -> mTarget.runs() == 1);

        mHops.vm("vm-b").guard().drain();

        assertThat(ask("vm-a", post("/once", ""))).contains("Apricotgauge-Outcome: not-run");
        mGo.countDown();
        assertThat(first.get()).startsWith("HTTP/1.1 200");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    private CompletableFuture<String> async(String vm, String text) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return ask(vm, text);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
