package org.apricotgauge.node;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.decision.health.HealthReportPolicy;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Sends health reports on the targets of this VM to other entries by datagrams, and applies those
 * of other nodes.
 *
 * <p>Lost datagrams are not resent: the next report or a refusal by the guard gives the same
 * information, and reports affect only the choice of a target.
 */
final class HealthReportService implements AutoCloseable {
    private static final String TARGET = "target";
    private static final String HEALTH = "health";
    private static final String LOAD = "load";
    private static final int FIELDS = 3;
    private static final double PERMILLE = 1_000.0;

    private final DatagramPort mPort;
    private final int mPortNumber;
    private final RoutingState mState;
    private final Ticker mTicker;
    private final String mFailureDomain;
    private final LoadSharing mLoadSharing;
    private final Map<String, HealthReportPolicy> mPolicies = new ConcurrentHashMap<>();

    /**
     * The health and load of a target.
     *
     * @param target id of the target
     * @param health degradation estimate as text
     * @param loadPermille requests running and queued, in permille of its slots
     */
    record HealthReport(String target, String health, int loadPermille) {}

    private HealthReportService(
            DatagramPort port,
            int portNumber,
            RoutingState state,
            Ticker ticker,
            String failureDomain,
            LoadSharing loadSharing) {
        mLoadSharing = loadSharing;
        mPort = port;
        mPortNumber = portNumber;
        mState = state;
        mTicker = ticker;
        mFailureDomain = failureDomain;
    }

    /**
     * Opens the port and starts to listen.
     *
     * @param profile settings of the node; other nodes have the same port for health reports
     * @throws IOException if the port can't be opened
     */
    static HealthReportService start(NodeProfile profile, RoutingState state, Ticker ticker)
            throws IOException {
        Address address = profile.healthReportAddress();
        DatagramPort port = DatagramPort.open(address, "health reports", ticker);
        HealthReportService service =
                new HealthReportService(
                        port,
                        address.port(),
                        state,
                        ticker,
                        profile.vm().failureDomain(),
                        profile.entry().loadSharing());
        port.listen((from, bytes, length) -> service.handleReport(decode(bytes, length)));
        return service;
    }

    /** Records that the node at the host sent a request for a target of this VM. */
    void recordUse(Target target, String host) {
        boolean sameFailureDomain =
                mState.table().configuration().targetsOn(host).stream()
                        .anyMatch(one -> one.failureDomain().equals(mFailureDomain));
        HealthReportPolicy policy = policyOf(target);
        synchronized (policy) {
            policy.recordUse(host, sameFailureDomain, mTicker.millis());
        }
    }

    /** Returns the hosts of the entries that used a target of this VM lately. */
    List<String> recentHosts() {
        long nowMillis = mTicker.millis();
        Set<String> hosts = new LinkedHashSet<>();
        for (HealthReportPolicy policy : mPolicies.values()) {
            synchronized (policy) {
                hosts.addAll(policy.recentHosts(nowMillis));
            }
        }
        return List.copyOf(hosts);
    }

    /** Sends the current health and load of a target of this VM to the entries that need it. */
    void sendReport(Target target, DegradationEstimate.Report health, int loadPermille) {
        HealthReport report = new HealthReport(target.id(), health.toText(), loadPermille);
        if (mLoadSharing.localFirst()) {
            // The entry of this node must learn of a failure before its next request stays here.
            handleReport(report);
        }
        HealthReportPolicy policy = policyOf(target);
        List<String> hosts;
        synchronized (policy) {
            long nowMillis = mTicker.millis();
            hosts =
                    policy.hostsToNotify(
                            health.receivedAt(nowMillis), loadPermille / PERMILLE, nowMillis);
        }
        if (hosts.isEmpty()) {
            return;
        }
        byte[] bytes = encode(report);
        hosts.forEach(host -> mPort.send(bytes, new Address(host, mPortNumber)));
    }

    // The codec is written by hand for speed: with 100 nodes, each gets some 50 reports a second.
    static byte[] encode(HealthReport report) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(FIELDS);
            packer.packString(TARGET).packString(report.target());
            packer.packString(HEALTH).packString(report.health());
            packer.packString(LOAD).packInt(report.loadPermille());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("failed to encode a health report", e);
        }
    }

    /**
     * Decodes a report; unknown fields, as of a later release, are skipped.
     *
     * @throws IOException if the datagram is malformed
     */
    static HealthReport decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            String target = "";
            String health = "";
            int loadPermille = 0;
            int fields = unpacker.unpackMapHeader();
            for (int i = 0; i < fields; i++) {
                switch (unpacker.unpackString()) {
                    case TARGET -> target = unpacker.unpackString();
                    case HEALTH -> health = unpacker.unpackString();
                    case LOAD -> loadPermille = unpacker.unpackInt();
                    default -> unpacker.skipValue();
                }
            }
            return new HealthReport(target, health, loadPermille);
        } catch (MessagePackException e) {
            throw new IOException("malformed health report", e);
        }
    }

    private HealthReportPolicy policyOf(Target target) {
        return mPolicies.computeIfAbsent(target.id(), id -> new HealthReportPolicy());
    }

    private void handleReport(HealthReport report) {
        Target target = mState.table().target(report.target());
        if (target == null) {
            return;
        }
        mState.table()
                .service(target.service())
                .flatMap(service -> service.candidate(report.target()))
                .ifPresent(
                        candidate -> {
                            DegradationEstimate.Report.parse(report.health())
                                    .map(estimate -> estimate.receivedAt(mTicker.millis()))
                                    .ifPresent(candidate.load()::reportDegradation);
                            candidate.load().reportLoad(report.loadPermille(), mTicker.nanos());
                        });
    }

    @Override
    public void close() {
        mPort.close();
    }
}
