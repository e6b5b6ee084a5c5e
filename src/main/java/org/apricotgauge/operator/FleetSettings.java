package org.apricotgauge.operator;

import java.util.List;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The settings that the operators' programs share.
 *
 * @param nodes administration addresses
 * @param timeoutMillis longest time for one node's answer
 * @param isFollowing whether to go on until stopped
 * @param pollMillis time between two rounds of questions while following
 */
public record FleetSettings(
        List<Address> nodes, long timeoutMillis, boolean isFollowing, long pollMillis) {
    private static final long DEFAULT_TIMEOUT_MILLIS = 2_000;
    private static final long MAX_MILLIS = 60_000;
    // A node answers 20 requests a second; faster rounds would be refused where several follow.
    private static final long MIN_POLL_MILLIS = 200;
    private static final long DEFAULT_POLL_MILLIS = 1_000;

    private static final Setting<List<Address>> NODES =
            Setting.required(
                    "nodes",
                    SettingKinds.addresses()
                            .where(
                                    list -> !list.isEmpty(),
                                    "host:port list of administration addresses, separated by"
                                            + " commas, not empty"),
                    "Administration addresses of the nodes to ask.");
    private static final Setting<Long> TIMEOUT_MILLIS =
            Setting.withDefault(
                    "timeout-millis",
                    SettingKinds.millis(1, MAX_MILLIS),
                    DEFAULT_TIMEOUT_MILLIS,
                    "Longest time for one node's answer.");
    private static final Setting<Boolean> FOLLOW =
            Setting.toggle("follow", "Goes on until stopped.");
    private static final Setting<Long> POLL_MILLIS =
            Setting.withDefault(
                    "poll-millis",
                    SettingKinds.millis(MIN_POLL_MILLIS, MAX_MILLIS),
                    DEFAULT_POLL_MILLIS,
                    "Time between two rounds of questions while following.");

    /** Checks the parts. */
    public FleetSettings {
        // A node named twice would count twice.
        nodes = nodes.stream().distinct().toList();
        Checks.inRange("timeoutMillis", timeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("pollMillis", pollMillis, MIN_POLL_MILLIS, MAX_MILLIS);
    }

    /** Returns the declared settings, to be added to those of a program. */
    public static List<Setting<?>> declared() {
        return List.of(NODES, TIMEOUT_MILLIS, FOLLOW, POLL_MILLIS);
    }

    /** Reads the settings. */
    public static FleetSettings of(SettingValues values) {
        return new FleetSettings(
                values.get(NODES),
                values.get(TIMEOUT_MILLIS),
                values.get(FOLLOW),
                values.get(POLL_MILLIS));
    }
}
