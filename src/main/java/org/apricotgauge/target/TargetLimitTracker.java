package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;

/**
 * Applies the rate limit that a target declares in its answers to the target's queue.
 *
 * <p>All requests pass the guard beside the target, so the limit that it enforces covers the
 * requests of all nodes together. Answers may arrive out of order: only an answer to a request that
 * was sent after the limit was last declared can lift it by omitting it. Thread-safe.
 */
final class TargetLimitTracker {
    private final Target mTarget;
    private final AdmissionQueue mQueue;
    private final LimitReporter mReporter;
    private volatile StartLimit mLimit;
    private long mDeclaredAtMillis;
    private boolean mAnswered;

    /**
     * Creates a tracker without a limit.
     *
     * @param reporter reports changes of the limit
     */
    TargetLimitTracker(Target target, AdmissionQueue queue, LimitReporter reporter) {
        mTarget = target;
        mQueue = queue;
        mReporter = reporter;
    }

    /** Returns the limit in force; empty if there is none. */
    Optional<StartLimit> inForce() {
        return Optional.ofNullable(mLimit);
    }

    /**
     * Handles the notice in an answer of the target; returns the queued requests that may start.
     *
     * @param ran whether the target ran the request; a target that rejects it is overloaded, and
     *     does not lift its limit by omitting it
     * @param sentMillis when the answered request was sent
     */
    synchronized QueueChanges handleNotice(
            TargetNotice notice, boolean ran, long sentMillis, long nowMillis) {
        mAnswered = true;
        if (notice.unreadable().isPresent()) {
            mReporter.unreadable(mTarget, notice.unreadable().get());
            return QueueChanges.NONE;
        }
        if (notice.limit().isPresent()) {
            mDeclaredAtMillis = nowMillis;
            setLimit(notice.limit().get(), nowMillis);
            return QueueChanges.NONE;
        }
        if (mLimit == null || !ran || sentMillis < mDeclaredAtMillis) {
            return QueueChanges.NONE;
        }
        mReporter.changed(mTarget, Optional.empty(), inForce());
        mLimit = null;
        return mQueue.removeStartLimit(nowMillis);
    }

    /** Applies a limit that an entry received, unless the target has answered this guard before. */
    synchronized void handleEntryLimit(StartLimit limit, long nowMillis) {
        if (!mAnswered) {
            setLimit(limit, nowMillis);
        }
    }

    private void setLimit(StartLimit limit, long nowMillis) {
        if (limit.equals(mLimit)) {
            return;
        }
        mReporter.changed(mTarget, Optional.of(limit), inForce());
        mLimit = limit;
        mQueue.setStartLimit(limit.keptPerSecond(), nowMillis);
    }
}
