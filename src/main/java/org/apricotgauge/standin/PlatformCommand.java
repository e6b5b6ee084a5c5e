package org.apricotgauge.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.VmStatus;

/** Runs the stand-in of the platform's service until it is stopped. */
final class PlatformCommand {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Setting<String> HOST =
            Setting.withDefault(
                    "host", SettingKinds.ipNumber(), "127.0.0.1", "IP number to listen at.");
    private static final Setting<Integer> PORT =
            Setting.withDefault("port", SettingKinds.port(), 8_500, "Port to listen at.");
    private static final Setting<Optional<Path>> PATCHES =
            Setting.optional(
                    "patches",
                    SettingKinds.path(),
                    "File with a JSON list of patches to publish at the start.");
    private static final Setting<Optional<Path>> VMS =
            Setting.optional(
                    "vms",
                    SettingKinds.path(),
                    "File with a JSON list of VMs to publish at the start.");

    /**
     * Settings of the stand-in.
     *
     * @param host IP number to listen at
     * @param port port to listen at
     * @param patches file of patches, if any
     * @param vms file of VMs, if any
     * @param log settings of the log
     */
    record Settings(
            String host, int port, Optional<Path> patches, Optional<Path> vms, LogSettings log) {

        static Settings of(SettingValues values) {
            return new Settings(
                    values.get(HOST),
                    values.get(PORT),
                    values.get(PATCHES),
                    values.get(VMS),
                    LogSettings.of(values));
        }
    }

    private PlatformCommand() {}

    static Command<Settings> command() {
        List<Setting<?>> declared = new ArrayList<>(List.of(HOST, PORT, PATCHES, VMS));
        declared.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-standin platform",
                "Publishes patches and the list of VMs.",
                declared,
                Settings::of);
    }

    static ExitCode run(Settings settings) throws IOException, InterruptedException {
        Logs.configure(settings.log());
        try (PlatformStandin platform = PlatformStandin.start(settings.host(), settings.port())) {
            if (settings.patches().isPresent()) {
                for (JsonNode patch : JSON.readTree(settings.patches().get().toFile())) {
                    platform.append(patch.toString());
                }
            }
            if (settings.vms().isPresent()) {
                platform.setVms(
                        JSON.readValue(
                                settings.vms().get().toFile(),
                                new TypeReference<List<VmStatus>>() {}));
            }
            new CountDownLatch(1).await();
        }
        return ExitCode.OK;
    }
}
