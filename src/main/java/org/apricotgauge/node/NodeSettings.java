package org.apricotgauge.node;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.CommandCheck;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * The settings of a node.
 *
 * <pre>{@code
 * NodeSettings.command().runAndExit(args, NodeMain::run);
 * }</pre>
 *
 * @param vm id of the VM that the node runs on, as in the platform's list
 * @param failureDomain failure domain of that VM
 * @param host IP address to listen at
 * @param callerPort port for callers; 0 for any free one, as with the other ports
 * @param guardPort port for other nodes' requests to the targets of this VM
 * @param peerPort port of the control protocol between nodes
 * @param adminPort port of the administration API
 * @param platform URL of the platform's service
 * @param seedPeers control addresses of nodes to contact first; may be empty
 * @param drainMillis maximum time that a stop waits for requests in flight
 * @param maxCallerConnections maximum number of concurrent connections of callers
 * @param log log settings
 */
public record NodeSettings(
        String vm,
        String failureDomain,
        String host,
        int callerPort,
        int guardPort,
        int peerPort,
        int adminPort,
        URI platform,
        List<Address> seedPeers,
        long drainMillis,
        int maxCallerConnections,
        LogSettings log) {
    private static final long DEFAULT_DRAIN_MILLIS = 30_000;
    private static final long MAX_DRAIN_MILLIS = 600_000;
    private static final int DEFAULT_CALLER_CONNECTIONS = 8_000;
    private static final int MAX_CALLER_CONNECTIONS = 100_000;

    private static final Setting<String> VM =
            Setting.required(
                    "vm",
                    SettingKinds.id(),
                    "Id of the VM that the node runs on, as the platform lists it.");
    private static final Setting<String> FAILURE_DOMAIN =
            Setting.required("failure-domain", SettingKinds.id(), "Failure domain of the VM.");
    private static final Setting<String> HOST =
            Setting.withDefault(
                    "host", SettingKinds.ipNumber(), "127.0.0.1", "IP address to listen at.");
    private static final Setting<Integer> CALLER_PORT =
            Setting.withDefault("caller-port", SettingKinds.port(), 8_080, "Port for callers.");
    private static final Setting<Integer> GUARD_PORT =
            Setting.withDefault(
                    "guard-port",
                    SettingKinds.port(),
                    8_081,
                    "Port for other nodes' requests to the targets of this VM.");
    private static final Setting<Integer> PEER_PORT =
            Setting.withDefault(
                    "peer-port",
                    SettingKinds.port(),
                    8_082,
                    "Port of the control protocol between nodes.");
    private static final Setting<Integer> ADMIN_PORT =
            Setting.withDefault(
                    "admin-port", SettingKinds.port(), 8_083, "Port of the administration API.");
    private static final Setting<URI> PLATFORM =
            Setting.required("platform", SettingKinds.httpUri(), "URL of the platform's service.");
    private static final Setting<List<Address>> SEED_PEERS =
            Setting.withDefault(
                    "seed-peers",
                    SettingKinds.addresses(),
                    List.of(),
                    "Control addresses of nodes to contact first, until the list of VMs is known.");
    private static final Setting<Long> DRAIN_MILLIS =
            Setting.withDefault(
                    "drain-millis",
                    SettingKinds.millis(0, MAX_DRAIN_MILLIS),
                    DEFAULT_DRAIN_MILLIS,
                    "Maximum time that a stop waits for requests in flight.");
    private static final Setting<Integer> CONNECTIONS =
            Setting.withDefault(
                    "max-caller-connections",
                    SettingKinds.integer("connections", 1, MAX_CALLER_CONNECTIONS),
                    DEFAULT_CALLER_CONNECTIONS,
                    "Maximum number of concurrent connections of callers.");

    /** Checks the parts. */
    public NodeSettings {
        Checks.id("vm", vm);
        Checks.id("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.notNull("platform", platform);
        Checks.notNull("log", log);
        Checks.inRange("drainMillis", drainMillis, 0, MAX_DRAIN_MILLIS);
        Checks.inRange("maxCallerConnections", maxCallerConnections, 1, MAX_CALLER_CONNECTIONS);
        seedPeers = List.copyOf(seedPeers);
    }

    /** Returns the settings that don't depend on the platform. */
    NodeProfile profile() {
        return new NodeProfile(
                new Vm(vm, failureDomain, host, callerPort, guardPort, peerPort, adminPort),
                drainMillis,
                drainMillis,
                Node.ANNOUNCE_MILLIS,
                maxCallerConnections,
                Set.of(),
                false,
                null,
                null,
                EvidenceHeaders.BYTES_PER_SECOND,
                FallbackQuota.Tolerance.NONE,
                EntryOptions.of(KeyLimits.DEFAULT));
    }

    /** Returns the command that reads these settings. */
    public static Command<NodeSettings> command() {
        return new Command<>(
                "apricotgauge-node",
                "Serves callers and guards the targets of one VM.",
                declared(),
                NodeSettings::of,
                differentPorts());
    }

    private static List<Setting<?>> declared() {
        List<Setting<?>> settings = new ArrayList<>();
        settings.addAll(List.of(VM, FAILURE_DOMAIN, HOST));
        settings.addAll(List.of(CALLER_PORT, GUARD_PORT, PEER_PORT, ADMIN_PORT));
        settings.addAll(List.of(PLATFORM, SEED_PEERS, DRAIN_MILLIS, CONNECTIONS));
        settings.addAll(LogSettings.declared());
        return List.copyOf(settings);
    }

    private static NodeSettings of(SettingValues values) {
        return new NodeSettings(
                values.get(VM),
                values.get(FAILURE_DOMAIN),
                values.get(HOST),
                values.get(CALLER_PORT),
                values.get(GUARD_PORT),
                values.get(PEER_PORT),
                values.get(ADMIN_PORT),
                values.get(PLATFORM),
                values.get(SEED_PEERS),
                values.get(DRAIN_MILLIS),
                values.get(CONNECTIONS),
                LogSettings.of(values));
    }

    private static CommandCheck differentPorts() {
        List<Setting<Integer>> ports = List.of(CALLER_PORT, GUARD_PORT, PEER_PORT, ADMIN_PORT);
        return values -> {
            List<SettingFault> faults = new ArrayList<>();
            for (int i = 1; i < ports.size(); i++) {
                Setting<Integer> port = ports.get(i);
                int number = values.get(port);
                for (Setting<Integer> earlier : ports.subList(0, i)) {
                    if (number != 0 && number == values.get(earlier)) {
                        faults.add(
                                new SettingFault(
                                        port.flag(),
                                        "\""
                                                + number
                                                + "\" is not allowed, since "
                                                + earlier.flag()
                                                + " has it too; allowed: a port of its own"));
                    }
                }
            }
            return faults;
        };
    }
}
