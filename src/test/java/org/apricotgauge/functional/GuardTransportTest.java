package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.apricotgauge.peer.hop.GuardTransport;
import org.apricotgauge.peer.hop.HopAttempt;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The promises of a guard, whichever way attempts reach it. */
class GuardTransportTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int LONG_BYTES = 500_000;
    private static final int CHUNK_BYTES = 65_536;
    private static final int ENDLESS_CHUNKS = 1_024;
    private static final int REFUSALS = 40;
    private static final int MAX_STACK_DEPTH = 100;
    private static final long WAIT_MILLIS = 10_000;

    /** Longer than any wait here: nothing ends by its deadline alone. */
    private static final long DEADLINE_MILLIS = 300_000;

    private final CountDownLatch mGo = new CountDownLatch(1);
    private final AttemptIdGenerator mIds = new AttemptIdGenerator("test", 1);
    private Hops mHops;
    private RawTarget mTarget;
    private GuardTransport mTransport;
    private Address mGuard;

    private void start(String entry, RawTarget.Script script) throws Exception {
        mTarget = RawTarget.start(script);
        mHops = new Hops("a", "b").handOver().target("t", "b", mTarget.port(), 1);
        mGuard = mHops.vm("b").guardAddress();
        mTransport = mHops.vm(entry).guards().transportTo(mGuard);
        assertThat(mTransport.isRemote()).isEqualTo(entry.equals(OVER_HOP));
    }

    private void startWaiting(String entry) throws Exception {
        start(
                entry,
                (head, body, out) -> {
                    mGo.await();
                    return write(out, OK);
                });
    }

    private static boolean write(OutputStream out, String text) throws java.io.IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
        return true;
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mHops.close();
        mTarget.close();
    }

    // Guards against a run that starts after its entry was told "not run".
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aFencedAttemptThatWaitsNeverStarts(String entry) throws Exception {
        startWaiting(entry);
        Submission running = submit(newAttempt(DEADLINE_MILLIS), "/running");
        LocalFleet.await(() -> mTarget.runs() == 1);
        Attempt attempt = newAttempt(DEADLINE_MILLIS);
        Submission waiting = submit(attempt, "/waiting");
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 2);

        assertThat(fence(attempt)).isEqualTo(FenceAnswer.State.NOT_RUN);

        assertThat(waiting.reason()).isEqualTo("fenced");
        mGo.countDown();
        assertThat(running.body()).isEqualTo("ok");
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    // Guards against a second run, by a fenced attempt, by a copy, or by one for an earlier guard.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatWasRefusedOnceOrRanDoesNotRun(String entry) throws Exception {
        start(entry, RawTarget.always(OK));
        Attempt fenced = newAttempt(DEADLINE_MILLIS);
        assertThat(fence(fenced)).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(submit(fenced, "/").reason()).isEqualTo("fenced");
        Attempt attempt = newAttempt(DEADLINE_MILLIS);
        assertThat(submit(attempt, "/").body()).isEqualTo("ok");
        Attempt earlier =
                new Attempt(
                        mIds.next(), attempt.guardIncarnation() + 1, attempt.latestStartMillis());

        assertThat(submit(attempt, "/").reason()).isEqualTo("forgotten");
        assertThat(submit(earlier, "/").reason()).isEqualTo("guard-restarted");

        assertThat(fence(attempt)).isEqualTo(FenceAnswer.State.COMPLETED);
        assertThat(mTarget.runs()).isEqualTo(1);
    }

    // Guards against a fence that takes a run for one that can be sent again, or cancels it.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aFenceOfARunSaysThatItStartedAndLetsItEnd(String entry) throws Exception {
        startWaiting(entry);
        Attempt attempt = newAttempt(DEADLINE_MILLIS);
        Submission running = submit(attempt, "/");
        LocalFleet.await(() -> mTarget.runs() == 1);

        assertThat(fence(attempt)).isEqualTo(FenceAnswer.State.STARTED);

        mGo.countDown();
        assertThat(running.body()).isEqualTo("ok");
    }

    // Guards against slots that are held for entries which gave up what waits or runs.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatIsAbortedOrAbandonedFreesItsPlace(String entry) throws Exception {
        startWaiting(entry);
        Attempt attempt = newAttempt(DEADLINE_MILLIS);
        submit(attempt, "/running");
        LocalFleet.await(() -> mTarget.runs() == 1);
        Submission waiting = submit(newAttempt(DEADLINE_MILLIS), "/waiting");
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 2);

        waiting.mExchange.abort(new TimeoutException("test"));
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 1);
        mTransport.abandon(mGuard, attempt, WAIT_MILLIS).get();
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);

        assertThat(mTarget.runs()).isEqualTo(1);
    }

    // Guards against a run that goes on for an entry whose caller left within the answer.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatIsGivenUpWithinItsAnswerFreesItsPlace(String entry) throws Exception {
        start(
                entry,
                (head, body, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
                    mGo.await();
                    return true;
                });
        Submission begun = submit(newAttempt(DEADLINE_MILLIS), "/");
        begun.response();
        assertThat(mHops.vm("b").guard().inFlight()).isEqualTo(1);

        begun.mBody.fail(new TimeoutException("test"));

        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(mHops.vm("b").count("guard.unknown")).isEqualTo(1);
    }

    // Guards against a run that the end of its node cuts.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aStoppingGuardStartsNothingThatItsEndWouldCut(String entry) throws Exception {
        start(entry, RawTarget.always(OK));
        mHops.vm("b").stop().begin(WAIT_MILLIS / 2);

        assertThat(submit(newAttempt(DEADLINE_MILLIS), "/").reason()).isEqualTo("leaving");

        assertThat(mTarget.runs()).isZero();
        assertThat(mHops.vm("b").count("guard.stop.declined")).isEqualTo(1);
    }

    // Guards against an attempt that waits on after its deadline, and starts for nobody.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatCannotStartInTimeIsToldNotRun(String entry) throws Exception {
        startWaiting(entry);
        submit(newAttempt(DEADLINE_MILLIS), "/running");
        LocalFleet.await(() -> mTarget.runs() == 1);

        assertThat(submit(newAttempt(200), "/waiting").reason()).isEqualTo("deadline-passed");
    }

    // Guards against a request that crashes a fourth target by way of the entry beside it.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aQuarantinedRequestDoesNotStart(String entry) throws Exception {
        start(entry, RawTarget.always(OK));
        long head = Fingerprint.hashHead("GET", "site", "/lethal?x", "anonymous");
        for (int crashId = 0; crashId < 3; crashId++) {
            mHops.vm("b")
                    .quarantine()
                    .recordCrash(List.of(new Fingerprint(head, Fingerprint.NO_BODY)), crashId);
        }

        Submission lethal = submit(newAttempt(DEADLINE_MILLIS), "/lethal?x");

        assertThat(lethal.reason()).isEqualTo("quarantined");
        assertThat(lethal.response().headers().getLongField(HeaderNames.RETRY_AFTER_MILLIS))
                .isPositive();
        assertThat(mTarget.runs()).isZero();
    }

    // Guards against a slot that is held for as long as a caller reads its answer.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aSlowReaderHoldsNoSlot(String entry) throws Exception {
        String answer = "x".repeat(LONG_BYTES);
        start(
                entry,
                RawTarget.always(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n" + answer));

        Submission unread = submit(newAttempt(DEADLINE_MILLIS), "/");
        unread.response();

        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(unread.body()).isEqualTo(answer);
    }

    // Guards against an answer that fills the node's memory as nobody reads it.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void anAnswerThatNobodyReadsHoldsItsTargetBack(String entry) throws Exception {
        AtomicLong written = new AtomicLong();
        long bytes = (long) ENDLESS_CHUNKS * CHUNK_BYTES;
        start(
                entry,
                (head, body, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
                    while (written.get() < bytes) {
                        out.write(new byte[CHUNK_BYTES]);
                        written.addAndGet(CHUNK_BYTES);
                    }
                    return true;
                });

        Submission unread = submit(newAttempt(DEADLINE_MILLIS), "/");
        unread.response();
        LocalFleet.await(() -> isStill(written));

        assertThat(written.get()).isLessThan(bytes / 2);
        Content.Source.consumeAll(unread.mBody);
        assertThat(written.get()).isEqualTo(bytes);
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
    }

    private static boolean isStill(AtomicLong counter) {
        long before = counter.get();
        try {
            Thread.sleep(300);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return before > 0 && counter.get() == before;
    }

    // Guards against half of an answer that looks like a whole one.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void anAnswerThatBreaksOffNeverEndsInOrder(String entry) throws Exception {
        start(
                entry,
                (head, body, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nha\r\n");
                    return false;
                });

        Submission broken = submit(newAttempt(DEADLINE_MILLIS), "/");

        assertThatThrownBy(broken::body).isNotNull();
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
    }

    // Guards against bodies that are cut or mixed up on the way, in either direction.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void longBodiesArriveWhole(String entry) throws Exception {
        start(
                entry,
                (head, body, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                    out.write(body);
                    return true;
                });
        String sent = "0123456789".repeat(LONG_BYTES);

        Submission echo =
                submit(
                        newAttempt(DEADLINE_MILLIS),
                        "POST",
                        "/",
                        new ByteBufferContentSource(
                                StandardCharsets.US_ASCII.encode(sent.substring(LONG_BYTES)),
                                StandardCharsets.US_ASCII.encode(sent.substring(0, LONG_BYTES))),
                        new Submission());

        assertThat(echo.body())
                .isEqualTo(sent.substring(LONG_BYTES) + sent.substring(0, LONG_BYTES));
    }

    // Guards against a stack that grows with each refusal that leads to the next attempt.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void refusalsDoNotDeepenTheStack(String entry) throws Exception {
        start(entry, RawTarget.always(OK));
        mHops.vm("b").guard().drain();
        AtomicInteger refusals = new AtomicInteger();
        AtomicInteger depth = new AtomicInteger();
        CompletableFuture<Void> done = new CompletableFuture<>();
        Submission again =
                new Submission() {
                    @Override
                    public void onAnswer(UpstreamResponse response, Content.Source body) {
                        depth.accumulateAndGet(new Throwable().getStackTrace().length, Math::max);
                        if (refusals.incrementAndGet() == REFUSALS) {
                            done.complete(null);
                        } else {
                            submit(newAttempt(DEADLINE_MILLIS), "GET", "/", noBody(), this);
                        }
                    }
                };

        CompletableFuture.runAsync(
                () -> submit(newAttempt(DEADLINE_MILLIS), "GET", "/", noBody(), again));

        done.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(depth.get()).isLessThan(MAX_STACK_DEPTH);
    }

    // Guards against a request that never ends as its guard failed, or that is sent to its target.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aGuardThatThrowsEndsTheRequest(String entry) throws Exception {
        start(entry, RawTarget.always(OK));
        mHops.failArrivals();

        try (RawCaller caller = new RawCaller(mHops.vm(entry).callerPort())) {
            assertThat(caller.request("POST", "/once", "Content-Length: 0").readAll())
                    .endsWith("unknown: started\n");
        }

        assertThat(mTarget.runs()).isZero();
        LocalFleet.await(() -> mHops.vm(entry).entry().inFlight() == 0);
        // At its deadline, the entry would have abandoned the attempt.
        assertThat(mHops.vm("b").count("guard.fences")).isZero();
        boolean local = entry.equals(IN_PROCESS);
        assertThat(mHops.vm(entry).count("entry.attempts.local")).isEqualTo(local ? 1 : 0);
        assertThat(mHops.vm(entry).count("entry.attempts.hop")).isEqualTo(local ? 0 : 1);
    }

    private Attempt newAttempt(long remainingMillis) {
        long nowMillis = Ticker.system().millis();
        return mHops.vm("a")
                .guards()
                .clockEstimate(mGuard, WAIT_MILLIS)
                .join()
                .newAttempt(mIds.next(), nowMillis, nowMillis + remainingMillis);
    }

    private FenceAnswer.State fence(Attempt attempt) throws Exception {
        return mTransport.fence(mGuard, attempt, WAIT_MILLIS).get().state();
    }

    private Submission submit(Attempt attempt, String path) {
        return submit(attempt, "GET", path, noBody(), new Submission());
    }

    private static Content.Source noBody() {
        return new ByteBufferContentSource(ByteBuffer.allocate(0));
    }

    private Submission submit(
            Attempt attempt,
            String method,
            String path,
            Content.Source body,
            Submission submission) {
        HttpFields headers =
                HttpFields.build()
                        .put("Host", "site")
                        .put(Attempt.HEADER, attempt.toString())
                        .put(HeaderNames.TARGET, "t")
                        .put(HeaderNames.TIMEOUT_MILLIS, DEADLINE_MILLIS);
        UpstreamRequest request = new UpstreamRequest(mGuard, method, path, headers, body);
        submission.mExchange =
                mTransport.send(
                        new HopAttempt(attempt, request, method.equals("POST")), submission);
        return submission;
    }

    /** What an entry is told of one attempt. */
    private static class Submission implements UpstreamExchange.Listener {
        private final CompletableFuture<UpstreamResponse> mResponse = new CompletableFuture<>();
        private volatile Content.Source mBody;
        private volatile Abortable mExchange;

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            mBody = body;
            mResponse.complete(response);
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            mResponse.completeExceptionally(failure.cause());
        }

        UpstreamResponse response() throws Exception {
            return mResponse.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        String reason() throws Exception {
            return response().headers().get(HeaderNames.REASON);
        }

        String body() throws Exception {
            response();
            byte[] bytes =
                    Bodies.readAll(mBody, 10 * LONG_BYTES).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            return new String(bytes, StandardCharsets.US_ASCII);
        }
    }
}
