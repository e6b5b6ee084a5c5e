package org.apricotgauge.log;

import java.util.List;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.model.Checks;

/**
 * The settings of the log, which every program declares.
 *
 * @param format how a line is written
 * @param level the least grave lines shown
 */
public record LogSettings(LogFormat format, LogLevel level) {
    private static final Setting<LogFormat> FORMAT =
            Setting.withDefault(
                    "log-format",
                    SettingKinds.oneOf(LogFormat.class),
                    LogFormat.JSON,
                    "How a line of the log on standard error is written.");
    private static final Setting<LogLevel> LEVEL =
            Setting.withDefault(
                    "log-level",
                    SettingKinds.oneOf(LogLevel.class),
                    LogLevel.INFO,
                    "The least grave lines that the log shows.");

    /** Checks the parts. */
    public LogSettings {
        Checks.notNull("format", format);
        Checks.notNull("level", level);
    }

    /** Returns the declared settings, to be added to those of a program. */
    public static List<Setting<?>> declared() {
        return List.of(FORMAT, LEVEL);
    }

    /** Reads the settings. */
    public static LogSettings of(SettingValues values) {
        return new LogSettings(values.get(FORMAT), values.get(LEVEL));
    }
}
