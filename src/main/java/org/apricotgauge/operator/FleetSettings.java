package org.apricotgauge.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The settings that the operators' programs share.
 *
 * @param nodes administration addresses
 * @param nodesFile file with more of them, one a line
 * @param timeoutMillis longest time for one node's answer
 * @param isFollowing whether to go on until stopped
 * @param pollMillis time between two rounds of questions while following
 */
public record FleetSettings(
        List<Address> nodes,
        Optional<Path> nodesFile,
        long timeoutMillis,
        boolean isFollowing,
        long pollMillis) {
    private static final long DEFAULT_TIMEOUT_MILLIS = 2_000;
    private static final long MAX_MILLIS = 60_000;
    // A node answers 10 requests a second; faster rounds would be refused where several follow.
    private static final long MIN_POLL_MILLIS = 500;
    private static final long DEFAULT_POLL_MILLIS = 1_000;

    private static final Setting<List<Address>> NODES =
            Setting.withDefault(
                    "nodes",
                    SettingKinds.addresses(),
                    List.of(),
                    "Administration addresses of the nodes to ask.");
    private static final Setting<Optional<Path>> NODES_FILE =
            Setting.optional(
                    "nodes-file",
                    SettingKinds.path(),
                    "File with one administration address a line; for lists too long for a flag.");
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
        nodes = List.copyOf(nodes);
        Checks.notNull("nodesFile", nodesFile);
        Checks.inRange("timeoutMillis", timeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("pollMillis", pollMillis, MIN_POLL_MILLIS, MAX_MILLIS);
    }

    /** Returns the declared settings, to be added to those of a program. */
    public static List<Setting<?>> declared() {
        return List.of(NODES, NODES_FILE, TIMEOUT_MILLIS, FOLLOW, POLL_MILLIS);
    }

    /** Reads the settings. */
    public static FleetSettings of(SettingValues values) {
        return new FleetSettings(
                values.get(NODES),
                values.get(NODES_FILE),
                values.get(TIMEOUT_MILLIS),
                values.get(FOLLOW),
                values.get(POLL_MILLIS));
    }

    /** Checks that there is a node to ask. */
    public static List<SettingFault> faults(SettingValues values) {
        boolean isEmpty = values.get(NODES).isEmpty() && values.get(NODES_FILE).isEmpty();
        return isEmpty
                ? List.of(
                        new SettingFault(
                                NODES.flag(),
                                "must be given (or "
                                        + NODES.variable()
                                        + ", or "
                                        + NODES_FILE
                                        + "); allowed: "
                                        + NODES.allowed()))
                : List.of();
    }

    /**
     * Returns the addresses of the flag and of the file, each once: a node named twice would count
     * twice.
     *
     * @throws IOException if the file can't be read, or a line of it is no address
     */
    public List<Address> allNodes() throws IOException {
        Set<Address> all = new LinkedHashSet<>(nodes);
        if (nodesFile.isPresent()) {
            List<String> lines = lines(nodesFile.get());
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i).strip();
                if (!line.isEmpty()) {
                    all.add(parse(line, i + 1));
                }
            }
        }
        return List.copyOf(all);
    }

    private static List<String> lines(Path file) throws IOException {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            String reason = e.getClass().getSimpleName();
            throw new IOException(NODES_FILE + ": " + file + " can't be read: " + reason, e);
        }
    }

    private Address parse(String line, int number) throws IOException {
        try {
            return SettingKinds.address().parser().apply(line);
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    NODES_FILE
                            + ": "
                            + nodesFile.get()
                            + " line "
                            + number
                            + ": \""
                            + line
                            + "\" is not host:port",
                    e);
        }
    }
}
