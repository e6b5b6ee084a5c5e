package org.apricotgauge.target;

import java.util.function.BooleanSupplier;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;

/** Pays, at most once, for the next run of a request whose run this guard ends or saw fail. */
final class RetryPrepayment {
    private final RetryCharge mCharge;
    private final boolean mMayRetry;
    private final BooleanSupplier mHasAlternative;
    private volatile boolean mPaid;

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

    /** Pays so that a run which may still succeed can be ended; see {@link RetryCharge}. */
    boolean tryPayEarly() {
        return canTakeOver() && record(mCharge.tryPrepayEarlyRetry());
    }

    /** Pays so that a run which is bound to fail can be ended. */
    boolean tryPayForFailed() {
        return canTakeOver() && record(mCharge.tryPrepayRetry());
    }

    /**
     * Tells the entry that the next run is paid for; pays now if that was not done. If there is no
     * further run, pays for another request that waits at the entry.
     */
    void pay(HttpFields.Mutable headers, boolean mayRetry) {
        if (mayRetry && (mPaid || mCharge.tryPrepayRetry())) {
            headers.put(HeaderNames.NEXT_RETRY_PREPAID, "1");
        } else if (mCharge.tryPayForWaiting()) {
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
