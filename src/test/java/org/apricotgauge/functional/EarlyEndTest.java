package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs that end before their target has answered, as the guard's log tells them. */
class EarlyEndTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long USEFUL_MILLIS = 400;

    /** Longer than a hand-over before the end, and as short as possible. */
    private static final long SHORT_STOP_MILLIS = 900;

    private static final HttpFields MAY_REPEAT =
            HttpFields.build()
                    .put(HeaderNames.TARGET_RESTRICTION, "may_try")
                    .put(HeaderNames.SOFT_DEADLINE_MILLIS, USEFUL_MILLIS);

    private final CountDownLatch mGo = new CountDownLatch(1);
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

    // Guards against a run whose end at the guard can't be told from one by its target.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void aRunThatItsEntryEndsIsLogged(String vm) throws Exception {
        ScriptedEntry entry = new ScriptedEntry(mHops, vm);
        ScriptedEntry.Sent abandoned = entry.send("slow", "/", DEADLINE_MILLIS, HttpFields.EMPTY);
        LocalFleet.await(() -> mSlow.runs() == 1);
        ScriptedEntry.Sent left = entry.send("slow", "/", DEADLINE_MILLIS, HttpFields.EMPTY);
        LocalFleet.await(() -> mSlow.runs() == 2);

        entry.abandon(abandoned);
        left.disconnect();

        JsonNode run = onlyEndOf(abandoned);
        assertThat(run.path("reason").asText()).isEqualTo("ABANDONED");
        assertThat(run.path("target").asText()).isEqualTo("slow");
        assertThat(run.path("elapsedMillis").isNumber()).isTrue();
        assertThat(run.path("stopMillis").isNull()).isTrue();
        assertThat(onlyEndOf(left).path("reason").asText()).isEqualTo("ENTRY_DISCONNECTED");
    }

    // Guards against a run that reaches its deadline and leaves no trace at the guard.
    @Test
    void aRunThatReachesItsDeadlineIsLogged() throws Exception {
        ScriptedEntry.Sent late =
                new ScriptedEntry(mHops, OVER_HOP).send("slow", "/", 500, HttpFields.EMPTY);

        assertThat(late.reason()).isEqualTo("started");

        JsonNode run = onlyEndOf(late);
        assertThat(run.path("reason").asText()).isEqualTo("DEADLINE");
        assertThat(run.path("elapsedMillis").asLong()).isBetween(300L, 5_000L);
    }

    // Guards against a run that the guard gives up as hung without a word of why.
    @Test
    void aRunThatIsTakenForHungIsLogged() throws Exception {
        ScriptedEntry.Sent hung =
                new ScriptedEntry(mHops, OVER_HOP).send("slow", "/", DEADLINE_MILLIS, MAY_REPEAT);

        assertThat(hung.reason()).isEqualTo("started");

        assertThat(onlyEndOf(hung).path("reason").asText()).isEqualTo("HUNG");
    }

    // Guards against runs that end with their node, and can't be told from each other or a hang.
    @Test
    void runsThatEndWithTheirNodeAreLogged() throws Exception {
        ScriptedEntry entry = new ScriptedEntry(mHops, OVER_HOP);
        HttpFields usefulLater =
                HttpFields.build(MAY_REPEAT)
                        .put(HeaderNames.SOFT_DEADLINE_MILLIS, DEADLINE_MILLIS / 2);
        ScriptedEntry.Sent lookup = entry.send("slow", "/", DEADLINE_MILLIS, usefulLater);
        ScriptedEntry.Sent booking = entry.send("slow", "/", DEADLINE_MILLIS, HttpFields.EMPTY);
        LocalFleet.await(() -> mSlow.runs() == 2);

        mHops.vm("b").stop().begin(SHORT_STOP_MILLIS);

        assertThat(lookup.reason()).isEqualTo("started");
        JsonNode handedOver = onlyEndOf(lookup);
        assertThat(handedOver.path("reason").asText()).isEqualTo("HANDED_OVER");
        assertThat(handedOver.path("stopMillis").asLong()).isBetween(101L, SHORT_STOP_MILLIS);
        assertThat(booking.reason()).isEqualTo("started");
        JsonNode ended = onlyEndOf(booking);
        assertThat(ended.path("reason").asText()).isEqualTo("NODE_ENDING");
        assertThat(ended.path("stopMillis").asLong()).isBetween(0L, 100L);
    }

    // Guards against lines about runs that ended in order.
    @Test
    void aRunThatEndsInOrderIsNotLogged() throws Exception {
        ScriptedEntry.Sent sent =
                new ScriptedEntry(mHops, OVER_HOP)
                        .send("slow", "/", DEADLINE_MILLIS, HttpFields.EMPTY);
        mGo.countDown();

        assertThat(sent.body()).isEqualTo("ok");

        LocalFleet.await(() -> mHops.vm("b").guard().inFlight() == 0);
        assertThat(mLines.runs("run started", sent.attempt())).hasSize(1);
        assertThat(mLines.runs("run ended early", sent.attempt())).isEmpty();
    }

    private JsonNode onlyEndOf(ScriptedEntry.Sent sent) {
        LocalFleet.await(() -> !mLines.runs("run ended early", sent.attempt()).isEmpty());
        List<JsonNode> ends = mLines.runs("run ended early", sent.attempt());
        assertThat(ends).hasSize(1);
        return ends.get(0);
    }

    private boolean answerLate(String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        mGo.await();
        out.write(OK.getBytes(StandardCharsets.US_ASCII));
        return true;
    }
}
