package org.apricotgauge.operator.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.event.TargetEjected;
import org.apricotgauge.event.VersionInForce;
import org.apricotgauge.operator.AdminServer;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.Readiness;
import org.apricotgauge.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * {@code apricotgauge-timeline} against the administration API of two nodes.
 *
 * <p>vm-b's wall clock is a minute behind. A version comes into force at vm-a, vm-b hears of it and
 * ejects a target. By wall time the ejection would stand first, and the operator would not see that
 * the version led to it.
 */
class TimelineMainTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    private final HybridClock mClockA = new HybridClock(() -> Instant.ofEpochMilli(NOW_MILLIS));
    private final HybridClock mClockB =
            new HybridClock(() -> Instant.ofEpochMilli(NOW_MILLIS - 60_000));
    private final EventRing mRingA = new EventRing("vm-a", 1, 16, mClockA);
    private final EventRing mRingB = new EventRing("vm-b", 1, 16, mClockB);
    private AdminServer mServerA;
    private AdminServer mServerB;

    @BeforeEach
    void start() throws IOException {
        mServerA = server(mRingA);
        mServerB = server(mRingB);
        EventId version = mRingA.record(new VersionInForce(7, "ab", 7));
        Event first = mRingA.read(0, 1).events().get(0);
        mClockB.observe(first.hlc());
        mRingB.record(
                new TargetEjected("roster", "t7", "<script>\"6 of 9\"</script>"),
                new Cause.ByEvent(version));
    }

    @AfterEach
    void stop() {
        mServerA.stop();
        mServerB.stop();
    }

    @Test
    void causeStandsAboveEffectThoughItsClockIsAhead() throws Exception {
        Result result = run("--nodes", nodes());

        assertThat(result.exitCode()).isEqualTo(ExitCode.OK);
        assertThat(result.output().lines())
                .satisfiesExactly(
                        line ->
                                assertThat(line)
                                        .startsWith("2023-11-14T22:13:20Z  vm-a/1/1")
                                        .contains("version-in-force  version=7"),
                        line ->
                                assertThat(line)
                                        .startsWith("2023-11-14T22:12:20Z  vm-b/1/1")
                                        .contains("<- vm-a/1/1")
                                        .contains("clock 60000 ms behind"));
    }

    @Test
    void nodeThatDoesNotAnswerIsShownAndTheExitCodeIsOne() throws Exception {
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            closedPort = socket.getLocalPort();
        }

        Result result = run("--nodes", nodes() + ",127.0.0.1:" + closedPort);

        assertThat(result.exitCode()).isEqualTo(ExitCode.NEGATIVE);
        assertThat(result.output().lines().filter(line -> line.startsWith("!")))
                .singleElement()
                .asString()
                .contains("127.0.0.1:" + closedPort + " did not answer: ");
        assertThat(result.output().lines()).hasSize(3);
    }

    @Test
    void pageHoldsAllAndRunsNoScriptFromEvidence() throws Exception {
        String page = run("--nodes", nodes(), "--format", "html").output();

        assertThat(page).contains("<svg", "vm-a", "vm-b", "&lt;script&gt;", "class=\"cause\"");
        assertThat(page).doesNotContain("<script").doesNotContain("href=").doesNotContain("src=");
    }

    @Test
    void filterLeavesOutWhatHasNothingToDoWithIt() throws Exception {
        assertThat(run("--nodes", nodes(), "--target", "t8", "--format=jsonl").output()).isEmpty();
        assertThat(run("--nodes", nodes(), "--target", "t7").output().lines()).hasSize(2);
    }

    private String nodes() {
        return "127.0.0.1:" + mServerA.port() + ",127.0.0.1:" + mServerB.port();
    }

    private record Result(ExitCode exitCode, String output) {}

    private static Result run(String... args) throws Exception {
        CommandOutcome<TimelineSettings> outcome =
                TimelineSettings.command().parse(List.of(args), Map.of());
        TimelineSettings settings = ((CommandOutcome.Ready<TimelineSettings>) outcome).settings();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, false, StandardCharsets.UTF_8);
        ExitCode exitCode = TimelineMain.run(settings, out, Ticker.system());
        return new Result(exitCode, bytes.toString(StandardCharsets.UTF_8));
    }

    private static AdminServer server(EventRing ring) throws IOException {
        AdminSources sources =
                new AdminSources(
                        () -> new Readiness(true, "serving"),
                        () -> null,
                        ring::read,
                        AdminSources.QuarantineSource.empty(),
                        List::of,
                        new MetricRegistry());
        AdminServer server = new AdminServer(sources, "127.0.0.1", 0, Ticker.system());
        server.start();
        return server;
    }
}
