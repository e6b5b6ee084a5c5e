package org.apricotgauge.peer.hop;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.model.Address;

/**
 * Carries attempts and control requests from an entry to a guard.
 *
 * <pre>{@code
 * GuardTransport transport = guards.transportTo(address);
 * Abortable exchange = transport.send(new HopAttempt(attempt, request, true), listener);
 * transport.fence(address, attempt, 500).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>Whatever the way, the guard makes the same promises. No method blocks. Thread-safe.
 */
public interface GuardTransport {

    /**
     * Returns whether the guard is another process, so that the path to it may break unnoticed: the
     * guard then acknowledges attempts, and the entry watches for the acknowledgements.
     */
    boolean isRemote();

    /** Requests the guard's stamp. */
    CompletableFuture<GuardStamp> stamp(Address guard, long timeoutMillis);

    /**
     * Sends an attempt.
     *
     * @return aborts the attempt; the guard then fences it and cancels it at its target
     */
    Abortable send(HopAttempt attempt, UpstreamExchange.Listener listener);

    /** Requests that the guard refuse the attempt if it arrives late. */
    CompletableFuture<FenceAnswer> fence(Address guard, Attempt attempt, long timeoutMillis);

    /**
     * Fences the attempt as {@link #fence} does, and cancels it at its target if it has started.
     */
    CompletableFuture<FenceAnswer> abandon(Address guard, Attempt attempt, long timeoutMillis);
}
