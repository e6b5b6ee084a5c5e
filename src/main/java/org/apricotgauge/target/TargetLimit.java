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
final class TargetLimit {
    private final Target mTarget;
    private final AdmissionQueue mQueue;
    private final LimitReport mReport;
    private volatile StartLimit mLimit;
    private long mNamedMillis;
    private boolean mAnswered;

    /**
     * Creates what keeps a queue to no limit.
     *
     * @param report takes changes of the limit
     */
    TargetLimit(Target target, AdmissionQueue queue, LimitReport report) {
        mTarget = target;
        mQueue = queue;
        mReport = report;
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
    synchronized QueueChanges told(
            TargetNotice notice, boolean ran, long sentMillis, long nowMillis) {
        mAnswered = true;
        if (notice.unreadable().isPresent()) {
            mReport.unreadable(mTarget, notice.unreadable().get());
            return QueueChanges.NONE;
        }
        if (notice.limit().isPresent()) {
            mNamedMillis = nowMillis;
            change(notice.limit().get(), nowMillis);
            return QueueChanges.NONE;
        }
        if (mLimit == null || !ran || sentMillis < mNamedMillis) {
            return QueueChanges.NONE;
        }
        mReport.changed(mTarget, Optional.empty(), inForce());
        mLimit = null;
        return mQueue.removeStartLimit(nowMillis);
    }

    /** Takes a limit that an entry was told; believed until the target has answered this guard. */
    synchronized void heard(StartLimit limit, long nowMillis) {
        if (!mAnswered) {
            change(limit, nowMillis);
        }
    }

    private void change(StartLimit limit, long nowMillis) {
        if (limit.equals(mLimit)) {
            return;
        }
        mReport.changed(mTarget, Optional.of(limit), inForce());
        mLimit = limit;
        mQueue.setStartLimit(limit.keptPerSecond(), nowMillis);
    }
}
