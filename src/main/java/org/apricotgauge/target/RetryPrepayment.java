package org.apricotgauge.target;

import java.util.function.BooleanSupplier;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;

/**
 * Pays, at most once, for the next run of a request whose run hangs, is ended or fails, and tells
 * the entry of it once.
 *
 * <p>Thread-safe.
 */
final class RetryPrepayment {
    private final RetryCharge mCharge;
    private final boolean mMayRetry;
    private final BooleanSupplier mHasAlternative;
    private boolean mPaid;
    private boolean mTold;

    /**
     * Creates the prepayment of one request.
     *
     * @param mayRetry whether the request is idempotent and has a further run left
     * @param hasAlternative whether another target can take over
     */
    RetryPrepayment(RetryCharge charge, boolean mayRetry, BooleanSupplier hasAlternative) {
        mCharge = charge;
        mMayRetry = mayRetry;
        mHasAlternative = hasAlternative;
    }

    /** Pays for a next run while this one may still succeed; see {@link RetryCharge}. */
    synchronized boolean tryPayEarly() {
        return canTakeOver() && record(mCharge.tryPrepayEarlyRetry());
    }

    /** Pays for a next run while this one is bound to fail. */
    synchronized boolean tryPayForFailed() {
        return canTakeOver() && record(mCharge.tryPrepayRetry());
    }

    /**
     * Tells the entry that the next run is paid for, before this one has ended; false if it is not
     * paid for or the entry was told.
     */
    synchronized boolean tryTell(HttpFields.Mutable headers) {
        if (!mPaid || mTold) {
            return false;
        }
        mTold = true;
        headers.put(HeaderNames.NEXT_RETRY_PREPAID, "1");
        return true;
    }

    /**
     * Tells the entry, with the end of the run, that the next run is paid for; pays now if that was
     * not done. If there is no further run, or it was told of before, pays for another request that
     * waits at the entry.
     */
    synchronized void pay(HttpFields.Mutable headers, boolean mayRetry) {
        mPaid |= mayRetry && !mPaid && mCharge.tryPrepayRetry();
        boolean told = mayRetry && tryTell(headers);
        if (!told && mCharge.tryPayForWaiting()) {
            headers.put(HeaderNames.WAITING_RETRY_PREPAID, "1");
        }
    }

    private boolean canTakeOver() {
        return mMayRetry && !mPaid && mHasAlternative.getAsBoolean();
    }

    private boolean record(boolean paid) {
        mPaid |= paid;
        return paid;
    }
}
