package org.apricotgauge.operator.watch;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.operator.AdminServer;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.NodeStatus;
import org.apricotgauge.operator.OutcomeKind;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.operator.Readiness;
import org.apricotgauge.time.ManualTicker;
import org.apricotgauge.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WatchMainTest {
    private final OutcomeWindows mWindows = new OutcomeWindows(new ManualTicker(), 4);
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private AdminServer mServer;

    @BeforeEach
    void start() throws Exception {
        AdminSources sources =
                new AdminSources(
                        () -> new Readiness(true, "serving"),
                        this::status,
                        (since, limit) -> null,
                        AdminSources.QuarantineSource.empty(),
                        List::of,
                        new MetricRegistry());
        mServer = new AdminServer(sources, "127.0.0.1", 0, Ticker.system());
        mServer.start();
        mWindows.versionInForce(7);
        mWindows.count("roster", OutcomeKind.ANSWERED);
        mWindows.count("catalogue", OutcomeKind.NOT_RUN);
    }

    @AfterEach
    void stop() {
        mServer.stop();
    }

    @Test
    void exitCodeTellsWhetherOneVersionIsInForceEverywhere() throws Exception {
        String node = "127.0.0.1:" + mServer.port();

        assertThat(run("--nodes", node + ',' + node)).isEqualTo(ExitCode.OK);
        assertThat(mOut.toString(StandardCharsets.UTF_8))
                .startsWith("1 of 1 nodes answered\nversion 7: 1 node\nejected: none\n")
                .contains("2 requests, 1 answered, 0 failed, 1 not run, 0 unknown");
        assertThat(run("--nodes", node + ",127.0.0.1:1")).isEqualTo(ExitCode.NEGATIVE);
    }

    @Test
    void exitCodeTellsWhetherAVersionHelped() throws Exception {
        String node = "127.0.0.1:" + mServer.port();

        assertThat(run("--nodes", node, "--since-version", "7", "--service", "roster"))
                .isEqualTo(ExitCode.NEGATIVE);
        assertThat(mOut.toString(StandardCharsets.UTF_8))
                .contains("since version 7: 1 requests, 1 answered")
                .contains("did version 7 help? undecided: 0 nodes saw requests before and after");
    }

    private NodeStatus status() {
        return new NodeStatus(
                "vm-1", "a", "0.1.0", 1, NodePhase.SERVING, 7, "ab", 7, List.of(), mWindows.read());
    }

    private ExitCode run(String... args) throws Exception {
        CommandOutcome<WatchSettings> outcome =
                WatchSettings.command().parse(List.of(args), Map.of());
        WatchSettings settings = ((CommandOutcome.Ready<WatchSettings>) outcome).settings();
        return WatchMain.run(settings, new PrintStream(mOut, true, StandardCharsets.UTF_8));
    }
}
