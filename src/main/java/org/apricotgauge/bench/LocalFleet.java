package org.apricotgauge.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apricotgauge.config.Patch;
import org.apricotgauge.config.PatchCodec;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.config.Rules;
import org.apricotgauge.log.LogFormat;
import org.apricotgauge.log.LogLevel;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.node.Node;
import org.apricotgauge.node.NodeSettings;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.standin.PlatformStandin;

/**
 * A small fleet in one process over real sockets: a platform stand-in, nodes, and any targets.
 *
 * <pre>{@code
 * try (LocalFleet fleet = new LocalFleet()) {
 *     Node node = fleet.startNode("vm-a");
 *     fleet.putTarget("t", "vm-a", port, 3);
 *     fleet.settle();
 * }
 * }</pre>
 *
 * <p>Service {@link #SERVICE} with route {@code /}; {@code /once} is never repeatable. Waits are
 * for conditions, with a bound so generous that only a fault reaches it. For tests and soak runs;
 * its methods are called by one thread.
 */
public final class LocalFleet implements AutoCloseable {
    /** The one service. */
    public static final String SERVICE = "s";

    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private final PlatformStandin mPlatform = PlatformStandin.start("127.0.0.1", 0);
    private final Map<String, Node> mNodes = new HashMap<>();
    private final Map<String, VmStatus> mVms = new HashMap<>();
    private long mVersion;

    /** Starts the platform and publishes the service with its routes. */
    public LocalFleet() {
        publish(
                new PatchOperation.PutService(
                        new Service(SERVICE, 0, new DetectionOdds(1_000, 1), 100, 100, null)),
                route("any", "/", Repeatability.BY_METHOD),
                route("once", "/once", Repeatability.NEVER));
    }

    /** Returns the operation that publishes a route of the service. */
    public static PatchOperation route(String id, String prefix, Repeatability repeatability) {
        return new PatchOperation.PutRoute(
                new Route(id, "*", prefix, SERVICE, Priority.NORMAL, repeatability, 20_000));
    }

    /** Returns the platform stand-in. */
    public PlatformStandin platform() {
        return mPlatform;
    }

    /** Publishes one patch on the newest version. */
    public void publish(PatchOperation... operations) {
        mPlatform.append(
                PatchCodec.encode(
                        new Patch(mVersion++, "test", "", Rules.FIRST, List.of(operations))));
    }

    /** Starts a node and waits until it serves. */
    public Node startNode(String vm) throws IOException {
        Node node = Node.start(settings(vm, 0));
        mNodes.put(vm, node);
        list(vm, node.guardPort(), VmStatus.State.LIVE);
        return node;
    }

    /** Starts a node that has ended anew, at the caller port that it had. */
    public Node restartNode(String vm, int callerPort) throws IOException {
        Node node = Node.start(settings(vm, callerPort));
        mNodes.put(vm, node);
        list(vm, node.guardPort(), VmStatus.State.LIVE);
        return node;
    }

    private NodeSettings settings(String vm, int callerPort) {
        return new NodeSettings(
                vm,
                "domain-" + vm,
                "127.0.0.1",
                callerPort,
                0,
                0,
                0,
                mPlatform.uri(),
                seeds(),
                20_000,
                1_000,
                new LogSettings(LogFormat.TEXT, LogLevel.WARN));
    }

    private List<Address> seeds() {
        return mNodes.values().stream()
                .filter(node -> node.phase() == NodePhase.SERVING)
                .map(node -> new Address("127.0.0.1", node.peerPort()))
                .toList();
    }

    /** Puts a VM on the platform's list; the guard may stand behind a relay. */
    public void list(String vm, int guardPort, VmStatus.State state) {
        Node node = mNodes.get(vm);
        int peerPort = node == null ? 0 : node.peerPort();
        int adminPort = node == null ? 0 : node.adminPort();
        Vm entry = new Vm(vm, "domain-" + vm, "127.0.0.1", 0, guardPort, peerPort, adminPort);
        mVms.put(vm, new VmStatus(entry, state));
        mPlatform.setVms(new ArrayList<>(mVms.values()));
    }

    /** Publishes a target on a VM. */
    public void putTarget(String id, String vm, int port, int slots) {
        publish(
                new PatchOperation.PutTarget(
                        new Target(id, SERVICE, vm, "domain-" + vm, "127.0.0.1", port, slots)));
    }

    /** Waits until every node serves the newest version. */
    public void settle() {
        await(
                () ->
                        mNodes.values().stream()
                                .allMatch(
                                        node ->
                                                node.phase() == NodePhase.SERVING
                                                        && node.version() == mVersion));
    }

    /** Waits for a condition. */
    public static void await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("condition did not come about");
            }
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
        }
    }

    @Override
    public void close() {
        mNodes.values().forEach(Node::close);
        mPlatform.close();
    }
}
