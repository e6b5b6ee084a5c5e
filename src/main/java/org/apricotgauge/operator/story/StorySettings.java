package org.apricotgauge.operator.story;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Checks;

/**
 * The settings of {@code apricotgauge-story}.
 *
 * @param request id of the request whose story is told
 * @param target name or id of the target whose story is told
 * @param fingerprint fingerprint of the requests whose story is told
 * @param files what the nodes wrote, a file for each or all in one; standard input if there is none
 * @param log settings of the program's own log
 */
record StorySettings(
        Optional<String> request,
        Optional<String> target,
        Optional<String> fingerprint,
        List<Path> files,
        LogSettings log) {
    private static final Setting<Optional<String>> REQUEST =
            Setting.optional(
                    "request", SettingKinds.text(), "Lines of this request and of its calls.");
    private static final Setting<Optional<String>> TARGET =
            Setting.optional(
                    "target",
                    SettingKinds.text(),
                    "Who knew what of this target when, and what was sent to it.");
    private static final Setting<Optional<String>> FINGERPRINT =
            Setting.optional(
                    "fingerprint",
                    SettingKinds.text(),
                    "Copies of one request: which targets ended under them, who held them when.");
    private static final Setting<List<String>> FILES =
            Setting.withDefault(
                    "files",
                    SettingKinds.texts(),
                    List.of(),
                    "Files with the nodes' lines, separated by commas; standard input if none.");

    /** Checks the parts. */
    StorySettings {
        Checks.notNull("request", request);
        Checks.notNull("target", target);
        Checks.notNull("fingerprint", fingerprint);
        files = List.copyOf(files);
        Checks.notNull("log", log);
    }

    static Command<StorySettings> command() {
        List<Setting<?>> settings = new ArrayList<>(List.of(REQUEST, TARGET, FINGERPRINT, FILES));
        settings.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-story",
                "Tells the story of one request, target or fingerprint from the nodes' log lines.",
                settings,
                StorySettings::of,
                StorySettings::faults);
    }

    private static StorySettings of(SettingValues values) {
        return new StorySettings(
                values.get(REQUEST),
                values.get(TARGET),
                values.get(FINGERPRINT),
                values.get(FILES).stream().map(Path::of).toList(),
                LogSettings.of(values));
    }

    private static List<SettingFault> faults(SettingValues values) {
        long given =
                Stream.of(REQUEST, TARGET, FINGERPRINT)
                        .filter(subject -> values.get(subject).isPresent())
                        .count();
        return given == 1
                ? List.of()
                : List.of(
                        new SettingFault(
                                REQUEST.flag(),
                                "just one of it, "
                                        + TARGET.flag()
                                        + " and "
                                        + FINGERPRINT.flag()
                                        + " must be given"));
    }
}
