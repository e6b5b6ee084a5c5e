package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;

/**
 * Keeps a target's queue to the limit that the target names in its answers, for as long as it does.
 *
 * <p>All requests pass the guard beside the target, so that one count is that of all nodes. Not all
 * answers arrive in the order in which they were given: only one to a request that was sent after
 * the limit was last named shows that it is lifted. Thread-safe.
 */
final class TargetLimitTracker {
    private final Target mTarget;
    private final AdmissionQueue mQueue;
    private final LimitReporter mReporter;
    private volatile StartLimit mLimit;
    private long mDeclaredAtMillis;
    private boolean mAnswered;

    /**
     * Creates what keeps a queue to no limit.
     *
     * @param report takes changes of the limit
     */
    TargetLimitTracker(Target target, AdmissionQueue queue, LimitReporter report) {
        mTarget = target;
        mQueue = queue;
        mReporter = report;
    }

    /** Returns the limit in force. */
    Optional<StartLimit> inForce() {
        return Optional.ofNullable(mLimit);
    }

    /**
     * Takes what the target says with an answer; returns what may start now.
     *
     * @param ran whether the target ran the request; one that turns it away is in need, and does
     *     not lift its limit by leaving it out
     * @param sentMillis when the request that it answers was sent
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

    /** Takes a limit that an entry was told; believed until the target has answered this guard. */
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
