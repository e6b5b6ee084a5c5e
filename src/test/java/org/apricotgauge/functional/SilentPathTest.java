package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections that go silent, one way or both, between an entry and a guard. */
class SilentPathTest {
    private static final int FIRST = 3;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final CountDownLatch mGo = new CountDownLatch(1);
    private final Map<String, CountDownLatch> mTogether = new ConcurrentHashMap<>();
    private Hops mHops;
    private RawTarget mTarget;
    private int mRunsBefore;
    private long mRequestsBefore;

    @BeforeEach
    void start() throws Exception {
        mHops = new Hops("vm-a", "vm-b");
        mTarget =
                RawTarget.start(
                        (head, body, out) -> {
                            if (head.contains("/wait")) {
                                mGo.await();
                            }
                            if (head.contains("/first")) {
                                CountDownLatch together =
                                        mTogether.computeIfAbsent(
                                                head.lines().findFirst().orElseThrow(),
                                                line -> new CountDownLatch(FIRST));
                                together.countDown();
                                together.await();
                            }
                            out.write(OK.getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        mHops.target("t", "vm-b", mTarget.port(), 3);
        openConnections();
        mRunsBefore = mTarget.runs();
        mRequestsBefore = mHops.vm("vm-a").count("entry.requests");
    }

    // Three connections are open and in the pool before anything goes wrong. A guard whose first
    // word is late, as in a process that has just started beside others, is passed by for a while;
    // no connection to it opens meanwhile, however many requests are sent.
    private void openConnections() {
        AtomicInteger rounds = new AtomicInteger();
        LocalFleet.await(
                () -> mHops.idleToGuards() >= FIRST || sendTogether(rounds.incrementAndGet()));
    }

    /** Sends requests that are all at the target at once; returns false, to be used in a wait. */
    private boolean sendTogether(int round) {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < FIRST; i++) {
            answers.add(async("GET", "/first/" + round));
        }
        answers.forEach(answer -> assertThat(answer.join()).endsWith("ok"));
        return false;
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mHops.close();
        mTarget.close();
    }

    private CompletableFuture<String> async(String method, String path) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return ask(method, path);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private String ask(String method, String path, String... headers) throws Exception {
        try (RawCaller caller = new RawCaller(mHops.vm("vm-a").callerPort())) {
            return caller.request(method, path, headers).readAll();
        }
    }

    @Test
    void aBookingHeldUpOnTheWayRunsOnceThoughItArrivesLate() throws Exception {
        // The caller gets its answer, and the booking runs once. The pooled connection swallows the
        // first attempt; the entry fences it over a new connection, hears "not run" and sends it
        // again; then the first attempt arrives after all, and the guard must refuse it.
        mHops.vm("vm-b").relay().silence(Relay.Way.THERE);
        assertThat(ask("POST", "/once", "Content-Length: 0")).startsWith("HTTP/1.1 200");
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
        long refusedBefore = mHops.vm("vm-b").count("guard.not_run");

        mHops.vm("vm-b").relay().release();

        LocalFleet.await(() -> mHops.vm("vm-b").count("guard.not_run") > refusedBefore);
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
        assertThat(mHops.vm("vm-a").count("entry.fences")).isEqualTo(1);
    }

    @Test
    void aBookingWhoseAnswerIsLostIsUnknownAndRunsOnce() throws Exception {
        // The caller is told "unknown" in time, and the booking ran once. The request arrives and
        // the way back is silent; the guard says that it has run, so it is not sent again.
        mHops.vm("vm-b").relay().silence(Relay.Way.BACK);
        String answer =
                ask("POST", "/once", "Content-Length: 0", "Apricotgauge-Timeout-Millis: 3000");
        assertThat(answer).startsWith("HTTP/1.1 504").contains("Apricotgauge-Outcome: unknown");
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
    }

    @Test
    void aBookingThatRunsBehindASilentPathIsUnknownAtItsDeadline() throws Exception {
        // The caller is told "unknown" when its time is over. The request arrives and the way back
        // is silent; the guard says that it runs, so the entry waits for an answer that can't come.
        mHops.vm("vm-b").relay().silence(Relay.Way.BACK);
        String answer =
                ask("POST", "/once/wait", "Content-Length: 0", "Apricotgauge-Timeout-Millis: 2000");
        assertThat(answer).startsWith("HTTP/1.1 504").contains("Apricotgauge-Outcome: unknown");
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
    }

    @Test
    void aLookupWhoseAnswerIsLostIsAskedAgain() throws Exception {
        // The caller gets its answer long before its deadline. The way back is silent; the request
        // may repeat, so the entry asks again over a new connection.
        mHops.vm("vm-b").relay().silence(Relay.Way.BACK);
        assertThat(ask("GET", "/")).endsWith("ok");
    }

    @Test
    void aSlowTargetIsNotTakenForADeadPath() throws Exception {
        // The caller of a slow target waits and gets its answer; nothing is fenced. The guard says
        // every second that it has the request, so that the entry can tell slow from dead.
        Thread later =
                new Thread(
                        () -> {
                            LocalFleet.await(
                                    () ->
                                            mHops.vm("vm-a").count("entry.requests")
                                                    > mRequestsBefore);
                            LockSupport.parkNanos(1_500_000_000L);
                            mGo.countDown();
                        });
        later.start();
        assertThat(ask("POST", "/once/wait", "Content-Length: 0")).endsWith("ok");
        assertThat(mHops.vm("vm-a").count("entry.fences")).isZero();
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
    }

    @Test
    void aGuardThatDiesWithABookingLeavesItUnknown() throws Exception {
        // The caller is told "unknown", for the target may have run it; it ran once. The guard dies
        // with the request at its target, and nobody is left to ask.
        Thread killer =
                new Thread(
                        () -> {
                            LocalFleet.await(() -> mTarget.runs() == mRunsBefore + 1);
                            try {
                                mHops.vm("vm-b").relay().cut();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        killer.start();
        String answer = ask("POST", "/once/wait", "Content-Length: 0");
        assertThat(answer).contains("Apricotgauge-Outcome: unknown");
        assertThat(mTarget.runs()).isEqualTo(mRunsBefore + 1);
    }
}
