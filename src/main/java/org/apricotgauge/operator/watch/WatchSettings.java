package org.apricotgauge.operator.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Checks;
import org.apricotgauge.operator.FleetSettings;

/**
 * The settings of {@code apricotgauge-watch}.
 *
 * @param fleet which nodes to ask, and how
 * @param format how the view is written
 * @param service only this service
 * @param sinceVersion the version whose effect is asked for
 * @param log settings of the log
 */
record WatchSettings(
        FleetSettings fleet,
        WatchFormat format,
        Optional<String> service,
        Optional<Long> sinceVersion,
        LogSettings log) {
    private static final Setting<WatchFormat> FORMAT =
            Setting.withDefault(
                    "format",
                    SettingKinds.oneOf(WatchFormat.class),
                    WatchFormat.TEXT,
                    "How the view is written.");
    private static final Setting<Optional<String>> SERVICE =
            Setting.optional("service", SettingKinds.id(), "Only this service.");
    private static final Setting<Optional<Long>> SINCE_VERSION =
            Setting.optional(
                    "since-version",
                    SettingKinds.longInteger("version", 1, Long.MAX_VALUE),
                    "Asks whether this version helped; the exit code is the answer.");

    WatchSettings {
        Checks.notNull("fleet", fleet);
        Checks.notNull("format", format);
        Checks.notNull("log", log);
    }

    static Command<WatchSettings> command() {
        List<Setting<?>> settings = new ArrayList<>(FleetSettings.declared());
        settings.addAll(List.of(FORMAT, SERVICE, SINCE_VERSION));
        settings.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-watch",
                "Shows version adoption, ejections and outcomes over the fleet.",
                settings,
                WatchSettings::of,
                FleetSettings::faults);
    }

    private static WatchSettings of(SettingValues values) {
        return new WatchSettings(
                FleetSettings.of(values),
                values.get(FORMAT),
                values.get(SERVICE),
                values.get(SINCE_VERSION),
                LogSettings.of(values));
    }
}
