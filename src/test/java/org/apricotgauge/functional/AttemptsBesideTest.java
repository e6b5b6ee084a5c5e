package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
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
    private static final String BODY = "0123456789".repeat(2_000);

    private final CountDownLatch mFirstGo = new CountDownLatch(1);
    private final CountDownLatch mSecondGo = new CountDownLatch(1);
    private volatile String mFirstAnswer = OK + "1!";
    private RawTarget mFirst;
    private RawTarget mSecond;
    private Hops mHops;

    @BeforeEach
    void start() throws Exception {
        mFirst = RawTarget.start((head, body, out) -> answer(mFirstGo, mFirstAnswer, head, out));
        mSecond = RawTarget.start((head, body, out) -> answer(mSecondGo, OK + "2!", head, out));
        mHops = Hops.guardsOnly("a", "b", "c").target("first", "b", mFirst.port(), 3);
        assertThat(ask("GET", "/").get()).endsWith("1!");
        mHops.awaitIdleToGuards(1);
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
        CompletableFuture<String> lookup = sendBeside("GET");

        mSecondGo.countDown();

        assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("2!");
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(mFirst.runs()).isEqualTo(2);
        assertThat(mHops.vm("a").count("entry.attempts.set_aside")).isEqualTo(1);
    }

    /** Guards against a failure that is told while another run may still succeed. */
    @Test
    void aFailureOfTheSilentRunLeavesTheOtherToAnswer() throws Exception {
        mFirstAnswer = FAILED;
        CompletableFuture<String> lookup = sendBeside("GET");

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
        LocalFleet.await(() -> mHops.vm("a").count("entry.attempts.set_aside") == 1);

        mHops.vm("b").relay().release();

        assertThat(lookup.get()).startsWith("HTTP/1.1 503").contains("not-run");
        assertThat(mFirst.runs()).isEqualTo(1);
    }

    /** Guards against attempts side by side that share out the bytes of one body. */
    @Test
    void bothRunsGetTheWholeBody() throws Exception {
        CompletableFuture<String> lookup = sendBeside("PUT");

        mFirstGo.countDown();
        mHops.vm("b").relay().release();

        assertThat(lookup.get()).startsWith("HTTP/1.1 200").endsWith("1!");
        assertThat(mFirst.heads().get(1)).startsWith("PUT").contains("" + BODY.length());
        assertThat(mSecond.heads().get(0)).startsWith("PUT").contains("" + BODY.length());
    }

    /** Sends a request that runs at both targets, the first of which isn't heard. */
    private CompletableFuture<String> sendBeside(String method) {
        mHops.vm("b").relay().silence(Relay.Way.BACK);
        CompletableFuture<String> lookup = ask(method, "/wait");
        LocalFleet.await(() -> mFirst.runs() == 2);
        mHops.target("second", "c", mSecond.port(), 3);
        LocalFleet.await(() -> mSecond.runs() == 1);
        return lookup;
    }

    private static boolean answer(CountDownLatch go, String answer, String head, OutputStream out)
            throws IOException, InterruptedException {
        if (head.contains("/wait")) {
            go.await();
        }
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private CompletableFuture<String> ask(String method, String path) {
        int port = mHops.vm("a").callerPort();
        String body = method.equals("PUT") ? BODY : "";
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = new RawCaller(port)) {
                        return caller.request(
                                        method, path, DEADLINE, "Content-Length: " + body.length())
                                .send(body)
                                .readAll();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }
}
