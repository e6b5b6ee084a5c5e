package org.apricotgauge.node;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.decision.health.HealthReportPolicy;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells other entries, by datagrams, how the targets of this VM are, and hears it of others.
 *
 * <p>A datagram that is lost is made up for by the next, or by the guard's refusal; nothing rests
 * on them but the choice of a target.
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
    private final Map<String, HealthReportPolicy> mPolicies = new ConcurrentHashMap<>();

    /**
     * How a target is.
     *
     * @param target its id
     * @param health how likely it is to be sick, as text
     * @param loadPermille requests running and waiting, in permille of its slots
     */
    record HealthReport(String target, String health, int loadPermille) {}

    private HealthReportService(
            DatagramPort port, int portNumber, RoutingState state, Ticker ticker, String domain) {
        mPort = port;
        mPortNumber = portNumber;
        mState = state;
        mTicker = ticker;
        mFailureDomain = domain;
    }

    /**
     * Starts to listen.
     *
     * @param address own address; other nodes have the same port
     * @throws IOException if the port can't be had
     */
    static HealthReportService start(
            Address address, RoutingState state, Ticker ticker, String domain) throws IOException {
        DatagramPort port = DatagramPort.open(address, "health news", ticker);
        HealthReportService news =
                new HealthReportService(port, address.port(), state, ticker, domain);
        port.listen((from, bytes, length) -> news.handleReport(decode(bytes, length)));
        return news;
    }

    /** Notes that the node at the host sent a request for a target of this VM. */
    void recordUse(Target target, String host) {
        boolean near =
                mState.table().configuration().targetsOn(host).stream()
                        .anyMatch(one -> one.failureDomain().equals(mFailureDomain));
        HealthReportPolicy policy = policyOf(target);
        synchronized (policy) {
            policy.recordUse(host, near, mTicker.millis());
        }
    }

    /** Tells whoever should know how a target of this VM is now. */
    void sendReport(Target target, DegradationEstimate.Report health, int loadPermille) {
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
        byte[] bytes = encode(new HealthReport(target.id(), health.toText(), loadPermille));
        hosts.forEach(host -> mPort.send(bytes, new Address(host, mPortNumber)));
    }

    // Written and read by hand: with 100 nodes, each hears some 50 lines a second.
    static byte[] encode(HealthReport line) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(FIELDS);
            packer.packString(TARGET).packString(line.target());
            packer.packString(HEALTH).packString(line.health());
            packer.packString(LOAD).packInt(line.loadPermille());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a line can always be written", e);
        }
    }

    /**
     * Reads a line; fields of a later release are passed over.
     *
     * @throws IOException if the datagram is malformed
     */
    static HealthReport decode(byte[] bytes, int length) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            String target = "";
            String health = "";
            int load = 0;
            int fields = unpacker.unpackMapHeader();
            for (int i = 0; i < fields; i++) {
                switch (unpacker.unpackString()) {
                    case TARGET -> target = unpacker.unpackString();
                    case HEALTH -> health = unpacker.unpackString();
                    case LOAD -> load = unpacker.unpackInt();
                    default -> unpacker.skipValue();
                }
            }
            return new HealthReport(target, health, load);
        } catch (MessagePackException e) {
            throw new IOException("not a line on a target's health", e);
        }
    }

    private HealthReportPolicy policyOf(Target target) {
        return mPolicies.computeIfAbsent(target.id(), id -> new HealthReportPolicy());
    }

    private void handleReport(HealthReport line) {
        Target target = mState.table().target(line.target());
        if (target == null) {
            return;
        }
        mState.table()
                .service(target.service())
                .flatMap(service -> service.candidate(line.target()))
                .ifPresent(
                        candidate -> {
                            DegradationEstimate.Report.parse(line.health())
                                    .map(told -> told.receivedAt(mTicker.millis()))
                                    .ifPresent(candidate.load()::reportDegradation);
                            candidate.load().reportLoad(line.loadPermille(), mTicker.nanos());
                        });
    }

    @Override
    public void close() {
        mPort.close();
    }
}
