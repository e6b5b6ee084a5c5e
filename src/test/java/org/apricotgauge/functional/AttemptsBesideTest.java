package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two attempts of one lookup: the first guard is silent, and the second one is asked beside it. */
class AttemptsBesideTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    private static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    private static final String DEADLINE = HeaderNames.TIMEOUT_MILLIS + ": 12000";
    private static final String HALF = "0123456789".repeat(1_000);

    private final CountDownLatch mFirstGo = new CountDownLatch(1);
    private final CountDownLatch mSecondGo = new CountDownLatch(1);
    private volatile String mFirstAnswer = OK + "1!";
    private final List<String> mBodies = new CopyOnWriteArrayList<>();
    private RawTarget mFirst;
    private RawTarget mSecond;
    private Hops mHops;
    private int mRunsBefore;
    private long mSetAsideBefore;

    @BeforeEach
    void start() throws Exception {
        mFirst =
                RawTarget.start(
                        (head, body, out) -> answer(mFirstGo, mFirstAnswer, head, body, out));
        mSecond =
                RawTarget.start((head, body, out) -> answer(mSecondGo, OK + "2!", head, body, out));
        mHops = Hops.guardsOnly("a", "b", "c").target("first", "b", mFirst.port(), 3);
        assertThat(ask("GET", "/").get()).endsWith("1!");
        mHops.awaitIdleToGuards(1);
        mRunsBefore = mFirst.runs();
        mSetAsideBefore = setAside();
    }

    @AfterEach
    void stop() throws Exception {
        mFirstGo.countDown();
        mSecondGo.countDown();
        mHops.close();
        mFirst.close();
        mSecond.close();
    }

    /** Guards against a run that nobody waits for any more. */
    @Test
    void theFirstAnswerIsTheCallersAndTheOtherRunIsCancelled() throws Exception {
        CompletableFuture<String> lookup = sendBeside();

        mSecondGo.countDown();

        assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("2!");
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(mFirst.runs()).isEqualTo(mRunsBefore + 1);
        assertThat(setAside()).isEqualTo(mSetAsideBefore + 1);
    }

    /** Guards against a request that ends for want of a target though one is there again. */
    @Test
    void aRequestIsTriedAgainOnceItsLastRunHasBrokenOff() throws Exception {
        mHops.vm("b").relay().silence(Relay.Way.BACK);
        CompletableFuture<String> lookup = ask("GET", "/wait");
        LocalFleet.await(() -> setAside() > mSetAsideBefore);
        mHops.target("second", "c", mSecond.port(), 3);
        mSecondGo.countDown();

        mHops.vm("b").relay().cut();

        assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("2!");
    }

    /** Guards against a failure that is told while another run may still succeed. */
    @Test
    void aFailureOfTheSilentRunLeavesTheOtherToAnswer() throws Exception {
        mFirstAnswer = FAILED;
        CompletableFuture<String> lookup = sendBeside();

        mFirstGo.countDown();
        mHops.vm("b").relay().release();
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        mSecondGo.countDown();

        assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("2!");
    }

    /** Guards against a 504 for a request that all guards prove not to have run. */
    @Test
    void whatEveryGuardRefusesInTheEndIsToldNotRun() throws Exception {
        mHops.vm("b").guard().drain();
        mHops.vm("b").relay().silence(Relay.Way.BACK);
        CompletableFuture<String> lookup = ask("GET", "/wait");
        LocalFleet.await(() -> setAside() > mSetAsideBefore);

        mHops.vm("b").relay().release();

        assertThat(lookup.get()).startsWith("HTTP/1.1 503").contains("not-run");
        assertThat(mFirst.runs()).isEqualTo(mRunsBefore);
    }

    /** Guards against attempts side by side that share out the bytes of one body. */
    @Test
    void bothRunsGetTheWholeBody() throws Exception {
        mHops.target("second", "c", mSecond.port(), 3);
        LocalFleet.await(() -> mSecond.runs() > 0 || !ask("GET", "/").join().contains("!"));
        mHops.vm("b").relay().silence(Relay.Way.BACK);
        mHops.vm("c").relay().silence(Relay.Way.BACK);
        long attemptsBefore = mHops.vm("a").count("entry.attempts.hop");
        try (RawCaller caller = new RawCaller(mHops.vm("a").callerPort())) {
            caller.request("PUT", "/wait", DEADLINE, "Content-Length: " + 2 * HALF.length())
                    .send(HALF);
            LocalFleet.await(() -> mHops.vm("a").count("entry.attempts.hop") > attemptsBefore + 1);

            caller.send(HALF);
            LocalFleet.await(() -> mBodies.size() >= 2);
            mFirstGo.countDown();
            mSecondGo.countDown();

            assertThat(caller.readAll()).startsWith("HTTP/1.1 200").endsWith("!");
        }
        assertThat(mBodies).containsOnly(HALF + HALF);
    }

    private long setAside() {
        return mHops.vm("a").count("entry.attempts.set_aside");
    }

    /** Sends a request that runs at both targets, the first of which isn't heard. */
    private CompletableFuture<String> sendBeside() {
        mHops.vm("b").relay().silence(Relay.Way.BACK);
        mHops.target("second", "c", mSecond.port(), 3).reportFull("a", "second");
        CompletableFuture<String> lookup = ask("GET", "/wait");
        LocalFleet.await(() -> mFirst.runs() > mRunsBefore);
        LocalFleet.await(() -> mSecond.runs() > 0);
        return lookup;
    }

    private boolean answer(
            CountDownLatch go, String answer, String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        if (head.contains("/wait")) {
            mBodies.add(new String(body, StandardCharsets.US_ASCII));
            go.await();
        }
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private CompletableFuture<String> ask(String method, String path) {
        int port = mHops.vm("a").callerPort();
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = new RawCaller(port)) {
                        return caller.request(method, path, DEADLINE).readAll();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
