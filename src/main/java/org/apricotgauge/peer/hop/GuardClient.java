package org.apricotgauge.peer.hop;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.stop.PeerStops;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.jboss.logging.Logger;

/**
 * What an entry knows of the guards, and the transport to each of them.
 *
 * <pre>{@code
 * guards.clockEstimate(address, 500).thenAccept(estimate -> ...);
 * guards.transportTo(address).send(attempt, listener);
 * }</pre>
 *
 * <p>Stores the last stamp of each guard, and the stop that it announced. Safe to share between
 * threads.
 */
public final class GuardClient {
    private static final Logger LOGGER = Logger.getLogger(GuardClient.class);

    private static final int DECIMAL = 10;

    /** Precedes what a later release adds to the time until a guard's end. */
    private static final char PARAMETER_SEPARATOR = ';';

    /** How long a guard that refused a connection is avoided, in milliseconds. */
    private static final long AVOIDANCE_AFTER_CONNECT_FAILURE_MILLIS = 500;

    /**
     * How long an unresponsive guard is avoided, in milliseconds; a partition seldom heals within a
     * second.
     */
    private static final long AVOIDANCE_AFTER_TIMEOUT_MILLIS = 1_500;

    private final UpstreamClient mForwardingClient;
    private final UpstreamClient mFencingClient;
    private final GuardTransport mHttp;
    private final PeerStops mStops;
    private final Ticker mTicker;
    private final ConcurrentMap<Address, GuardClockEstimate> mClockEstimates =
            new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, Long> mUnavailableUntilMillis = new ConcurrentHashMap<>();
    private volatile LocalGuard mLocalGuard;

    /**
     * Creates a client.
     *
     * @param forwarding sends attempts over persistent connections
     * @param fencing sends control requests over new connections
     * @param stops receives the stops that guards announce
     * @param ticker the entry's clock
     */
    public GuardClient(
            UpstreamClient forwarding, UpstreamClient fencing, PeerStops stops, Ticker ticker) {
        mForwardingClient = Checks.notNull("forwarding", forwarding);
        mFencingClient = Checks.notNull("fencing", fencing);
        mHttp = new HttpGuardTransport(forwarding, fencing, this::recordStamp);
        mStops = Checks.notNull("stops", stops);
        mTicker = Checks.notNull("ticker", ticker);
    }

    /** Uses the guard in the same process for the attempts at its address from now on. */
    public void useLocalGuard(LocalGuard guard) {
        mLocalGuard = Checks.notNull("guard", guard);
    }

    /** Returns the transport for the attempts at a guard. */
    public GuardTransport transportTo(Address guard) {
        LocalGuard local = mLocalGuard;
        return local != null && local.address().equals(guard) ? local : mHttp;
    }

    /** Sends a request that is no attempt over a connection to the node of a guard. */
    public Abortable send(UpstreamRequest request, UpstreamExchange.Listener listener) {
        return mForwardingClient.send(request, listener);
    }

    /**
     * Records that no connection to the guard could be made.
     *
     * <p>While its process restarts, the targets beside it still serve; entries then send to them
     * directly rather than lose the capacity.
     */
    public void onConnectFailed(Address guard) {
        mUnavailableUntilMillis.put(
                guard, mTicker.millis() + AVOIDANCE_AFTER_CONNECT_FAILURE_MILLIS);
    }

    /** Opens a connection to the guard and closes it at once; fails if it can't be opened. */
    public CompletableFuture<Void> tryConnect(Address guard) {
        return mFencingClient.tryConnect(guard);
    }

    /** Returns whether the guard recently refused a connection or was unresponsive. */
    public boolean isUnavailable(Address guard) {
        Long untilMillis = mUnavailableUntilMillis.get(guard);
        if (untilMillis == null) {
            return false;
        }
        if (mTicker.millis() < untilMillis) {
            return true;
        }
        mUnavailableUntilMillis.remove(guard, untilMillis);
        return false;
    }

    /** Records the stamp in a response of a guard, if it has one, and whether the guard stops. */
    public void recordStamp(Address guard, HttpFields headers) {
        Optional<GuardStamp> stamp = stampOf(headers);
        stamp.ifPresent(present -> mergeStamp(guard, present));
        String remaining = headers.get(HeaderNames.STOP_MILLIS);
        if (remaining != null) {
            recordStop(guard, remaining);
        } else if (stamp.isPresent()) {
            mStops.recordServing(guard, stamp.get().incarnation());
        }
    }

    // Acknowledgements carry no stamp; they come from the incarnation that the attempt is for.
    private void recordStop(Address guard, String remaining) {
        GuardClockEstimate estimate = mClockEstimates.get(guard);
        if (estimate == null) {
            return;
        }
        try {
            int end = remaining.indexOf(PARAMETER_SEPARATOR);
            int length = end < 0 ? remaining.length() : end;
            long remainingMillis = Integer.parseInt(remaining, 0, length, DECIMAL);
            mStops.record(guard, estimate.stamp().incarnation(), remainingMillis);
        } catch (IllegalArgumentException e) {
            LOGGER.debugf("malformed stop of guard %s: %s", guard, remaining);
            mStops.countMalformed();
        }
    }

    /** Returns the milliseconds until a guard ends, see {@link PeerStops#remainingMillis}. */
    public long stopMillis(Address guard) {
        LocalGuard local = mLocalGuard;
        if (local != null && local.address().equals(guard)) {
            return local.stopMillis();
        }
        return mStops.remainingMillis(guard);
    }

    /** Returns the last clock estimate of a guard, requesting its stamp if there is none. */
    public CompletableFuture<GuardClockEstimate> clockEstimate(Address guard, long timeoutMillis) {
        GuardClockEstimate estimate = mClockEstimates.get(guard);
        if (estimate != null) {
            return CompletableFuture.completedFuture(estimate);
        }
        return transportTo(guard)
                .stamp(guard, timeoutMillis)
                .thenApply(
                        stamp -> {
                            mergeStamp(guard, stamp);
                            return mClockEstimates.get(guard);
                        });
    }

    /**
     * Records that a connection to the guard became unresponsive, and closes the idle ones, which
     * may be broken as well.
     */
    public void onUnresponsive(Address guard) {
        mForwardingClient.evictIdle(guard);
        mUnavailableUntilMillis.put(guard, mTicker.millis() + AVOIDANCE_AFTER_TIMEOUT_MILLIS);
    }

    private static Optional<GuardStamp> stampOf(HttpFields headers) {
        return Optional.ofNullable(headers.get(GuardStamp.HEADER)).flatMap(GuardStamp::parse);
    }

    private void mergeStamp(Address guard, GuardStamp stamp) {
        GuardClockEstimate estimate = new GuardClockEstimate(stamp, mTicker.millis());
        mClockEstimates.merge(guard, estimate, GuardClockEstimate::merge);
    }
}
