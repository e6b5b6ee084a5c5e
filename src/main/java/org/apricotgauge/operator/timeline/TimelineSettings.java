package org.apricotgauge.operator.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Checks;
import org.apricotgauge.operator.FleetSettings;

/**
 * The settings of {@code apricotgauge-timeline}.
 *
 * @param fleet which nodes to ask, and how
 * @param format how the time line is written
 * @param filter which events are shown
 * @param settleMillis longest time that a live event is held back for its order
 * @param lastEvents most events of one node that the time line begins with
 * @param log settings of the log
 */
record TimelineSettings(
        FleetSettings fleet,
        TimelineFormat format,
        TimelineFilter filter,
        long settleMillis,
        int lastEvents,
        LogSettings log) {
    private static final long DEFAULT_SETTLE_MILLIS = 5_000;
    private static final long MAX_SETTLE_MILLIS = 600_000;

    private static final int DEFAULT_LAST_EVENTS = 1_000;
    private static final int MAX_LAST_EVENTS = 1_000_000;

    private static final Setting<TimelineFormat> FORMAT =
            Setting.withDefault(
                    "format",
                    SettingKinds.oneOf(TimelineFormat.class),
                    TimelineFormat.TEXT,
                    "How the time line is written.");
    private static final Setting<Optional<String>> SERVICE =
            Setting.optional("service", SettingKinds.text(), "Only events about this service.");
    private static final Setting<Optional<String>> TARGET =
            Setting.optional("target", SettingKinds.text(), "Only events about this target.");
    private static final Setting<Optional<String>> REQUEST =
            Setting.optional("request", SettingKinds.text(), "Only events about this request id.");
    private static final Setting<List<String>> TYPES =
            Setting.withDefault(
                    "types",
                    SettingKinds.texts()
                            .where(
                                    EventCodec.types()::containsAll,
                                    "list, separated by commas, of "
                                            + String.join(", ", EventCodec.types())),
                    List.of(),
                    "Only events of these types, and what led to them and they led to.");
    private static final Setting<Long> SETTLE_MILLIS =
            Setting.withDefault(
                    "settle-millis",
                    SettingKinds.millis(0, MAX_SETTLE_MILLIS),
                    DEFAULT_SETTLE_MILLIS,
                    "Longest time that a live event is held back for its place in the order.");

    private static final Setting<Integer> LAST_EVENTS =
            Setting.withDefault(
                    "last-events",
                    SettingKinds.integer("events", 1, MAX_LAST_EVENTS),
                    DEFAULT_LAST_EVENTS,
                    "Most events of one node that the time line begins with.");

    TimelineSettings {
        Checks.notNull("fleet", fleet);
        Checks.notNull("format", format);
        Checks.notNull("filter", filter);
        Checks.notNull("log", log);
    }

    static Command<TimelineSettings> command() {
        List<Setting<?>> settings = new ArrayList<>(FleetSettings.declared());
        settings.addAll(
                List.of(FORMAT, SERVICE, TARGET, REQUEST, TYPES, SETTLE_MILLIS, LAST_EVENTS));
        settings.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-timeline",
                "Merges the events of all nodes into one causally consistent order.",
                settings,
                TimelineSettings::of,
                TimelineSettings::faults);
    }

    private static TimelineSettings of(SettingValues values) {
        return new TimelineSettings(
                FleetSettings.of(values),
                values.get(FORMAT),
                new TimelineFilter(
                        values.get(SERVICE),
                        values.get(TARGET),
                        values.get(REQUEST),
                        values.get(TYPES)),
                values.get(SETTLE_MILLIS),
                values.get(LAST_EVENTS),
                LogSettings.of(values));
    }

    private static List<SettingFault> faults(SettingValues values) {
        List<SettingFault> faults = new ArrayList<>(FleetSettings.faults(values));
        if (FleetSettings.of(values).isFollowing() && values.get(FORMAT) == TimelineFormat.HTML) {
            faults.add(
                    new SettingFault(
                            FORMAT.flag(),
                            "\"html\" is not allowed with --follow; allowed: text, jsonl"));
        }
        return faults;
    }
}
