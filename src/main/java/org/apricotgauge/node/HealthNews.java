package org.apricotgauge.node;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotgauge.decision.health.HealthNewsPolicy;
import org.apricotgauge.decision.health.HealthOutlook;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Tells other entries, by datagrams, how the targets of this VM are, and hears it of others.
 *
 * <p>A datagram that is lost is made up for by the next, or by the guard's refusal; nothing rests
 * on them but the choice of a target. One that is malformed, or of an unknown target, is counted by
 * a line in the log at most once a minute.
 */
final class HealthNews implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(HealthNews.class);
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int MAX_BYTES = 512;
    private static final double PERMILLE = 1_000.0;
    private static final long WARN_EVERY_MILLIS = 60_000;

    private final DatagramChannel mChannel;
    private final int mPort;
    private final RoutingState mState;
    private final Ticker mTicker;
    private final String mDomain;
    private final Map<String, HealthNewsPolicy> mPolicies = new ConcurrentHashMap<>();
    private volatile long mWarnedMillis = Long.MIN_VALUE / 2;

    /**
     * How a target is.
     *
     * @param target its id
     * @param health how likely it is to be sick, as text
     * @param load requests running and waiting, in permille of its slots
     */
    record Line(String target, String health, int load) {}

    private HealthNews(
            DatagramChannel channel, int port, RoutingState state, Ticker ticker, String domain) {
        mChannel = channel;
        mPort = port;
        mState = state;
        mTicker = ticker;
        mDomain = domain;
    }

    /**
     * Starts to listen.
     *
     * @param address own address; other nodes have the same port
     * @throws IOException if the port can't be had
     */
    static HealthNews start(Address address, RoutingState state, Ticker ticker, String domain)
            throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(new InetSocketAddress(address.host(), address.port()));
        HealthNews news = new HealthNews(channel, address.port(), state, ticker, domain);
        Thread thread = new Thread(news::listen, "health-news");
        thread.setDaemon(true);
        thread.start();
        return news;
    }

    /** Notes that the node at the host sent a request for a target of this VM. */
    void seen(Target target, String host) {
        boolean near =
                mState.table().configuration().targetsOn(host).stream()
                        .anyMatch(one -> one.failureDomain().equals(mDomain));
        HealthNewsPolicy policy = policyOf(target);
        synchronized (policy) {
            policy.seen(host, near, mTicker.millis());
        }
    }

    /** Tells whoever should know how a target of this VM is now. */
    void tell(Target target, HealthOutlook.Told health, int loadPermille) {
        HealthNewsPolicy policy = policyOf(target);
        List<String> hosts;
        synchronized (policy) {
            hosts = policy.toTell(health.sickPermille() / PERMILLE, mTicker.millis());
        }
        if (hosts.isEmpty()) {
            return;
        }
        try {
            byte[] bytes =
                    MAPPER.writeValueAsBytes(new Line(target.id(), health.toText(), loadPermille));
            for (String host : hosts) {
                mChannel.send(ByteBuffer.wrap(bytes), new InetSocketAddress(host, mPort));
            }
        } catch (IOException e) {
            warn("health of " + target.id() + " is not told", e);
        }
    }

    private HealthNewsPolicy policyOf(Target target) {
        return mPolicies.computeIfAbsent(target.id(), id -> new HealthNewsPolicy());
    }

    private void listen() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
        while (mChannel.isOpen()) {
            try {
                buffer.clear();
                mChannel.receive(buffer);
                hear(MAPPER.readValue(buffer.array(), 0, buffer.position(), Line.class));
            } catch (AsynchronousCloseException e) {
                LOGGER.debug("health news closed");
            } catch (IOException | RuntimeException e) {
                warn("a datagram is not understood", e);
            }
        }
    }

    private void hear(Line line) {
        Target target = mState.table().target(line.target());
        if (target == null) {
            return;
        }
        mState.table()
                .service(target.service())
                .flatMap(service -> service.candidate(line.target()))
                .ifPresent(
                        candidate -> {
                            HealthOutlook.Told.parse(line.health())
                                    .map(told -> told.heardAt(mTicker.millis()))
                                    .ifPresent(candidate.load()::reportHealth);
                            candidate.load().report(line.load(), mTicker.nanos());
                        });
    }

    private void warn(String what, Exception e) {
        long nowMillis = mTicker.millis();
        if (nowMillis - mWarnedMillis >= WARN_EVERY_MILLIS) {
            mWarnedMillis = nowMillis;
            LOGGER.warnf("%s: %s", what, e);
        }
    }

    @Override
    public void close() {
        try {
            mChannel.close();
        } catch (IOException e) {
            LOGGER.warnf("health news does not close: %s", e);
        }
    }
}
