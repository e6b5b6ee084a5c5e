package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A guard whose run hangs, or that ends soon, and an entry that can run attempts side by side. */
class OfferedAttemptTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String FAILED = "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno";
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long USEFUL_MILLIS = 400;
    private static final long LONG_USEFUL_MILLIS = DEADLINE_MILLIS / 2;

    /** Longer than a hand-over before the end, and as short as possible. */
    private static final long SHORT_STOP_MILLIS = 900;

    /** Over two intervals of acknowledgements, and a dozen checks of a hung run. */
    private static final long LATER_MILLIS = 2_500;

    private final CountDownLatch mGo = new CountDownLatch(1);
    private volatile String mAnswer = OK;
    private RequestLines mLines;
    private RawTarget mSlow;
    private RawTarget mWell;
    private Hops mHops;

    @BeforeEach
    void start() throws Exception {
        mLines = new RequestLines();
        mSlow = RawTarget.start(this::answerLate);
        mWell = RawTarget.start(RawTarget.always(OK));
        mHops =
                new Hops("a", "b", "c")
                        .handOver()
                        .target("slow", "b", mSlow.port(), 4)
                        .target("well", "c", mWell.port(), 4);
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mHops.close();
        mSlow.close();
        mWell.close();
        mLines.close();
    }

    // Guards against a run at work that its guard ends though no other target takes the request.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aHungRunGoesOnBesideOneOfferAndAnswers(String vm) throws Exception {
        ScriptedEntry.Sent sent = send(vm, USEFUL_MILLIS, true);

        LocalFleet.await(() -> sent.offers() == 1);
        int acknowledged = sent.acknowledgements();
        Thread.sleep(LATER_MILLIS);

        assertThat(sent.hasAnswer()).isFalse();
        assertThat(sent.offers()).isEqualTo(1);
        assertThat(sent.acknowledgements() > acknowledged).isEqualTo(vm.equals(OVER_HOP));
        mGo.countDown();
        assertThat(sent.body()).isEqualTo("ok");
        assertThat(sent.isPaid()).isFalse();
        assertThat(count("guard.attempts.offered")).isEqualTo(1);
        assertThat(count("guard.hung")).isEqualTo(1);
        assertThat(onlyOfferOf(sent).path("reason").asText()).isEqualTo("HUNG");
        assertThat(mLines.runs("run ended early", sent.attempt())).isEmpty();
        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
    }

    // Guards against an entry of an earlier release that waits for the end of a hung run.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void forAnEarlierEntryAHungRunIsEnded(String vm) throws Exception {
        ScriptedEntry.Sent sent = send(vm, USEFUL_MILLIS, false);

        assertThat(sent.reason()).isEqualTo("started");

        assertThat(sent.isPaid()).isTrue();
        assertThat(sent.offers()).isZero();
        assertThat(count("guard.attempts.offered")).isZero();
        assertThat(count("guard.hung")).isEqualTo(1);
    }

    // Guards against two retries for one payment, which the retry budget knows nothing of.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aRunThatFailsAfterAnOfferPaysForNoFurtherRetry(String vm) throws Exception {
        mAnswer = FAILED;
        ScriptedEntry.Sent sent = send(vm, USEFUL_MILLIS, true);
        LocalFleet.await(() -> sent.offers() == 1);

        mGo.countDown();

        assertThat(sent.response().status()).isEqualTo(500);
        assertThat(sent.isPaid()).isFalse();
        assertThat(sent.offers()).isEqualTo(1);
    }

    // Guards against a run that is ended .8 s before its guard's end though it would have answered.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aRunGoesOnBesideAnOfferShortlyBeforeTheGuardEnds(String vm) throws Exception {
        ScriptedEntry.Sent sent = send(vm, LONG_USEFUL_MILLIS, true);
        mHops.vm("b").stop().begin(SHORT_STOP_MILLIS);

        LocalFleet.await(() -> sent.offers() == 1);
        mGo.countDown();

        assertThat(sent.body()).isEqualTo("ok");
        assertThat(sent.isPaid()).isFalse();
        assertThat(count("guard.stop.handed_over")).isEqualTo(1);
        assertThat(count("guard.stop.unfinished")).isZero();
        JsonNode offer = onlyOfferOf(sent);
        assertThat(offer.path("reason").asText()).isEqualTo("NODE_ENDING");
        assertThat(offer.path("stopMillis").asLong()).isBetween(101L, SHORT_STOP_MILLIS);
    }

    // Guards against an entry that is told nothing as the process of its guard ends.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void afterAnOfferTheLastMomentStillTells(String vm) throws Exception {
        ScriptedEntry.Sent sent = send(vm, LONG_USEFUL_MILLIS, true);
        mHops.vm("b").stop().begin(SHORT_STOP_MILLIS);

        assertThat(sent.reason()).isEqualTo("started");

        assertThat(sent.offers()).isEqualTo(1);
        assertThat(sent.isPaid()).isFalse();
        assertThat(count("guard.attempts.offered")).isEqualTo(1);
        assertThat(count("guard.stop.unfinished")).isEqualTo(1);
    }

    // Guards against a retry of what may not repeat, or has no further run left.
    @Test
    void withoutAFurtherRunNothingIsOffered() throws Exception {
        HttpFields lastRun =
                HttpFields.build()
                        .put(HeaderNames.SOFT_DEADLINE_MILLIS, USEFUL_MILLIS)
                        .put(HeaderNames.RETRY_BESIDE, "1");
        ScriptedEntry.Sent sent =
                new ScriptedEntry(mHops, OVER_HOP).send("slow", "/", DEADLINE_MILLIS, lastRun);
        LocalFleet.await(() -> mSlow.runs() == 1);
        mHops.vm("b").stop().begin(SHORT_STOP_MILLIS);

        assertThat(sent.reason()).isEqualTo("started");

        assertThat(sent.offers()).isZero();
        assertThat(count("guard.attempts.offered")).isZero();
    }

    // Guards against a run that holds its slot after its entry was served by the further attempt.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aRunThatIsAbandonedAfterAnOfferFreesItsPlace(String vm) throws Exception {
        ScriptedEntry entry = new ScriptedEntry(mHops, vm);
        ScriptedEntry.Sent sent =
                entry.send("slow", "/", DEADLINE_MILLIS, headers(USEFUL_MILLIS, true));
        LocalFleet.await(() -> sent.offers() == 1);

        entry.abandon(sent);

        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(mLines.runs("run ended early", sent.attempt()).get(0).path("reason").asText())
                .isEqualTo("ABANDONED");
    }

    private ScriptedEntry.Sent send(String vm, long usefulMillis, boolean runsBeside) {
        ScriptedEntry.Sent sent =
                new ScriptedEntry(mHops, vm)
                        .send("slow", "/", DEADLINE_MILLIS, headers(usefulMillis, runsBeside));
        LocalFleet.await(() -> mSlow.runs() == 1);
        return sent;
    }

    private static HttpFields headers(long usefulMillis, boolean runsBeside) {
        HttpFields.Mutable headers =
                HttpFields.build()
                        .put(HeaderNames.TARGET_RESTRICTION, "may_try")
                        .put(HeaderNames.SOFT_DEADLINE_MILLIS, usefulMillis);
        return runsBeside ? headers.put(HeaderNames.RETRY_BESIDE, "1") : headers;
    }

    private JsonNode onlyOfferOf(ScriptedEntry.Sent sent) {
        assertThat(mLines.runs("further attempt offered", sent.attempt())).hasSize(1);
        return mLines.runs("further attempt offered", sent.attempt()).get(0);
    }

    private long count(String counter) {
        return mHops.vm("b").count(counter);
    }

    private boolean answerLate(String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        mGo.await();
        out.write(mAnswer.getBytes(StandardCharsets.US_ASCII));
        return true;
    }
}
