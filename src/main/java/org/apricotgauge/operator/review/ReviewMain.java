package org.apricotgauge.operator.review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformException;

/**
 * The program that judges one patch before it is signed off.
 *
 * <pre>{@code
 * bin/apricotgauge-review --patch next.json --platform http://127.0.0.1:8500
 * }</pre>
 *
 * <p>Exit code 0: the patch would take effect; 1: it would not, or only a newer release can tell;
 * 2: the command line is at fault; 3: the patch or the history cannot be read.
 */
public final class ReviewMain {
    private static final Setting<Path> PATCH =
            Setting.required("patch", SettingKinds.path(), "File that holds the patch.");
    private static final Setting<Optional<URI>> PLATFORM =
            Setting.optional(
                    "platform", SettingKinds.httpUri(), "Platform that publishes the history.");
    private static final Setting<Optional<Path>> CONFIG =
            Setting.optional(
                    "config",
                    SettingKinds.path(),
                    "File that holds the history: a list of patches, a saved answer of the"
                            + " platform, or the chunks of a snapshot.");
    private static final Setting<Boolean> JSON =
            Setting.toggle("json", "Writes the report as JSON.");
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private ReviewMain() {}

    /**
     * What the program runs with.
     *
     * @param patch file of the patch
     * @param source where the history comes from
     * @param json whether the report is JSON
     * @param log settings of the log
     */
    record Settings(Path patch, HistorySource source, boolean json, LogSettings log) {

        static Settings of(SettingValues values) {
            Optional<Path> config = values.get(CONFIG);
            HistorySource source =
                    config.isPresent()
                            ? new FileHistorySource(config.get())
                            : platform(values.get(PLATFORM).orElseThrow());
            return new Settings(
                    values.get(PATCH), source, values.get(JSON), LogSettings.of(values));
        }

        private static HistorySource platform(URI uri) {
            return () -> {
                try (HttpPlatformClient client = HttpPlatformClient.open(uri)) {
                    return new PlatformHistorySource(client).read();
                } catch (PlatformException e) {
                    throw new IOException("the platform: " + e.getMessage(), e.getCause());
                }
            };
        }
    }

    /** Runs the program. */
    public static void main(String[] args) {
        command()
                .runAndExit(
                        args,
                        settings -> {
                            Logs.configure(settings.log());
                            return run(settings, System.out);
                        });
    }

    static Command<Settings> command() {
        List<Setting<?>> declared = new ArrayList<>(List.of(PATCH, PLATFORM, CONFIG, JSON));
        declared.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-review",
                "Tells whether a patch would take effect, what it changes and what that does.",
                declared,
                Settings::of,
                ReviewMain::faults);
    }

    static ExitCode run(Settings settings, PrintStream out) throws IOException {
        String body = TextFile.read(settings.patch());
        ConfigHistory history = settings.source().read();
        ReviewReport report = PatchReview.review(history, body);
        out.print(
                settings.json() ? MAPPER.writeValueAsString(report) + '\n' : ReviewText.of(report));
        return report.verdict() == Verdict.ACCEPTED ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static List<SettingFault> faults(SettingValues values) {
        boolean hasPlatform = values.get(PLATFORM).isPresent();
        boolean hasConfig = values.get(CONFIG).isPresent();
        return hasPlatform == hasConfig
                ? List.of(new SettingFault("--platform, --config", "exactly one must be given"))
                : List.of();
    }
}
