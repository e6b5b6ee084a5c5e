package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.platform.kv.KvDialect;
import org.junit.jupiter.api.Test;

/** Tests the flags of a node whose platform fills them in. */
class SidecarSettingsTest {
    private static final List<String> FLAGS =
            List.of(
                    "--failure-domain=hall",
                    "--service=booking",
                    "--caller-address=10.0.0.1:80",
                    "--guard-address=10.0.0.1:81",
                    "--admin-address=10.0.0.1:82",
                    "--store-address=10.0.0.9:83",
                    "--news-address=10.0.0.1:84",
                    "--crash-news-address=10.0.0.1:85");

    @Test
    void emptyFlagHasItsDefault() {
        List<String> flags = new ArrayList<>(FLAGS);
        flags.add("--floor-share=");
        flags.add("--retry-burst=62");
        flags.add("--serves-on-millis=2500");
        flags.add("--heartbeat-millis=");

        SidecarSettings settings = ready(flags);

        assertThat(settings.floorShare()).isEqualTo(0.7);
        assertThat(settings.retryBurst()).isEqualTo(62);
        assertThat(settings.times().servesOnMillis()).isEqualTo(2_500);
        assertThat(settings.times().heartbeatMillis()).isEqualTo(1_000);
        assertThat(settings.defaults().floorPercent()).isEqualTo(70);
    }

    @Test
    void invalidValueIsReportedInOneLineWithItsFlag() {
        List<String> flags = new ArrayList<>(FLAGS);
        flags.add("--stop-seconds=soon");

        CommandOutcome<SidecarSettings> outcome = SidecarSettings.command().parse(flags, Map.of());

        assertThat(outcome).isInstanceOf(CommandOutcome.Finished.class);
        String error = ((CommandOutcome.Finished<SidecarSettings>) outcome).errors();
        assertThat(error.lines()).hasSize(1);
        assertThat(error).contains("--stop-seconds");
    }

    // Guards against a stop that ends requests in flight a second before the platform kills it.
    @Test
    void stopLastsUntilJustBeforeTheKill() {
        List<String> flags = new ArrayList<>(FLAGS);
        flags.add("--stop-seconds=6");

        NodeProfile profile = ready(flags).profile(new KvDialect("booking"), KvDialect.READY_PATH);

        assertThat(profile.drainMillis()).isEqualTo(5_700);
        assertThat(profile.announceMillis()).isEqualTo(2_700);
    }

    @Test
    void nodeWithLessThanHalfACoreSharesLoad() {
        assertThat(loadSharingOf("--cpu-share=0.2")).isEqualTo(new LoadSharing(true, true, true));
        assertThat(loadSharingOf("--cpu-share=0.5")).isEqualTo(LoadSharing.NONE);
        assertThat(loadSharingOf("--cpu-share=")).isEqualTo(LoadSharing.NONE);
    }

    private static LoadSharing loadSharingOf(String flag) {
        List<String> flags = new ArrayList<>(FLAGS);
        flags.add(flag);
        return ready(flags)
                .profile(new KvDialect("booking"), KvDialect.READY_PATH)
                .entry()
                .loadSharing();
    }

    private static SidecarSettings ready(List<String> flags) {
        return ((CommandOutcome.Ready<SidecarSettings>)
                        SidecarSettings.command().parse(flags, Map.of()))
                .settings();
    }
}
