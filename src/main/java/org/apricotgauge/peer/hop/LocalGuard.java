package org.apricotgauge.peer.hop;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.target.Guard;
import org.apricotgauge.target.HopRequest;
import org.eclipse.jetty.http.HostPortHttpField;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.HostPort;
import org.jboss.logging.Logger;

/**
 * Hands attempts to the guard in the same process, without a connection.
 *
 * <pre>{@code
 * guards.useLocalGuard(new LocalGuard(address, guard, threads));
 * }</pre>
 *
 * <p>Guard and entry run on the thread that has news for the other; neither waits for the other. A
 * refusal, which leads the entry to its next attempt, changes the thread so that the stack stays
 * bounded.
 */
public final class LocalGuard implements GuardTransport {
    private static final Logger LOGGER = Logger.getLogger(LocalGuard.class);

    private final Address mAddress;
    private final Guard mGuard;
    private final Executor mExecutor;
    private final HeldBytes mHeldBytes = new HeldBytes();

    /**
     * Creates a transport.
     *
     * @param address where other entries reach the guard
     * @param executor runs what must not run on the guard's stack
     * @param registry registers the metrics
     */
    public LocalGuard(Address address, Guard guard, Executor executor, MetricRegistry registry) {
        mAddress = Checks.notNull("address", address);
        mGuard = Checks.notNull("guard", guard);
        mExecutor = Checks.notNull("executor", executor);
        registry.gauge("guard.local_answers.held_bytes", () -> mHeldBytes::count);
    }

    Address address() {
        return mAddress;
    }

    /** Returns the time until the guard's process ends, which is the entry's own. */
    long stopMillis() {
        return mGuard.stopMillis();
    }

    @Override
    public boolean isRemote() {
        return false;
    }

    @Override
    public CompletableFuture<GuardStamp> stamp(Address guard, long timeoutMillis) {
        return CompletableFuture.completedFuture(mGuard.stamp());
    }

    @Override
    public Abortable send(HopAttempt attempt, UpstreamExchange.Listener listener) {
        LocalExchange exchange = new LocalExchange(listener, mExecutor, mHeldBytes);
        if (!exchange.tryBegin()) {
            return exchange;
        }
        try {
            mGuard.submit(attempt.attempt(), toHopRequest(attempt), exchange);
        } catch (RuntimeException | Error e) {
            LOGGER.errorf(e, "guard failed to handle attempt %s", attempt.attempt());
            exchange.failSubmission(e);
        }
        return exchange;
    }

    private HopRequest toHopRequest(HopAttempt attempt) {
        UpstreamRequest request = attempt.request();
        return new HopRequest(
                request.method(),
                hostOf(request),
                request.path(),
                request.headers(),
                attempt.hasBody(),
                request.body(),
                mAddress.host());
    }

    private String hostOf(UpstreamRequest request) {
        HttpField host = request.headers().getField(HttpHeader.HOST);
        if (host == null) {
            return mAddress.host();
        }
        return host instanceof HostPortHttpField hostPort
                ? hostPort.getHost()
                : new HostPort(host.getValue()).getHost();
    }

    @Override
    public CompletableFuture<FenceAnswer> fence(
            Address guard, Attempt attempt, long timeoutMillis) {
        return CompletableFuture.completedFuture(mGuard.fence(attempt, false));
    }

    @Override
    public CompletableFuture<FenceAnswer> abandon(
            Address guard, Attempt attempt, long timeoutMillis) {
        return CompletableFuture.completedFuture(mGuard.fence(attempt, true));
    }
}
