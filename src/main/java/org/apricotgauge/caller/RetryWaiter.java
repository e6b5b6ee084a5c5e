package org.apricotgauge.caller;

import org.apricotgauge.decision.retry.RetryQueue;

/** A request that waits at its entry for a retry. */
interface RetryWaiter {
    /** Returns whether the request has ended by itself; ends it if its node stops too soon. */
    boolean hasEnded();

    /**
     * Sends the request.
     *
     * @param prepaid whether a guard has paid for the retry
     */
    void resume(boolean prepaid);

    /** Refuses the request. */
    void refuse(RetryQueue.Refusal<RetryWaiter> refusal);
}
