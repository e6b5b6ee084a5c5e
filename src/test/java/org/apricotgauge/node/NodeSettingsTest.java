package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;
import org.junit.jupiter.api.Test;

class NodeSettingsTest {
    private static final List<String> REQUIRED =
            List.of("--vm=a1", "--failure-domain=a", "--platform=http://127.0.0.1:8500");

    @Test
    void defaultsSuffice() {
        CommandOutcome<NodeSettings> outcome = NodeSettings.command().parse(REQUIRED, Map.of());

        NodeSettings settings = ((CommandOutcome.Ready<NodeSettings>) outcome).settings();
        assertThat(settings.drainMillis()).isEqualTo(30_000);
        assertThat(settings.seedPeers()).isEmpty();
    }

    @Test
    void portsMustDifferUnlessZero() {
        Map<String, String> zeros =
                Map.of("APRICOTGAUGE_CALLER_PORT", "0", "APRICOTGAUGE_GUARD_PORT", "0");
        Map<String, String> same =
                Map.of("APRICOTGAUGE_CALLER_PORT", "9000", "APRICOTGAUGE_GUARD_PORT", "9000");

        assertThat(NodeSettings.command().parse(REQUIRED, zeros))
                .isInstanceOf(CommandOutcome.Ready.class);
        assertThat(NodeSettings.command().parse(REQUIRED, same))
                .isInstanceOfSatisfying(
                        CommandOutcome.Finished.class,
                        finished ->
                                assertThat(finished.errors())
                                        .contains("--guard-port: \"9000\" is not allowed"));
    }
}
