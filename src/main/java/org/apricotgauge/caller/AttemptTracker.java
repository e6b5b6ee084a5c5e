package org.apricotgauge.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.client.Abortable;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Tracks one attempt at a target: counts it in the target's load and reports its outcome once.
 * Thread-safe.
 */
final class AttemptTracker {
    private final EntryContext mContext;
    private final Candidate mCandidate;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final AtomicBoolean mOutcomeRecorded = new AtomicBoolean();
    private volatile long mSentNanos;

    AttemptTracker(EntryContext context, Candidate candidate) {
        mContext = context;
        mCandidate = candidate;
    }

    /** Counts the attempt as in flight. */
    void begin() {
        mCandidate.load().begin();
        mSentNanos = mContext.ticker().nanos();
    }

    /** Counts the attempt as ended; later calls do nothing. */
    void end() {
        if (mEnded.compareAndSet(false, true)) {
            mCandidate.load().end();
        }
    }

    boolean isEnded() {
        return mEnded.get();
    }

    /** Reports to the observer how the attempt ended; later calls do nothing. */
    void recordOutcome(ObservedOutcome outcome) {
        if (!mOutcomeRecorded.compareAndSet(false, true)) {
            return;
        }
        long micros = TimeUnit.NANOSECONDS.toMicros(mContext.ticker().nanos() - mSentNanos);
        mContext.observer().onAttemptEnded(mCandidate.target(), outcome, micros);
    }

    /** Returns the outcome to record for the status of a target's answer. */
    static ObservedOutcome outcomeOf(int status) {
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503) {
            return ObservedOutcome.SHED;
        }
        return HttpStatus.isServerError(status)
                ? ObservedOutcome.TARGET_ERROR
                : ObservedOutcome.SUCCESS;
    }

    /** Aborts an exchange; null if it has not begun. */
    static void abort(Abortable upstream) {
        if (upstream != null) {
            upstream.abort(new TimeoutException("attempt abandoned"));
        }
    }
}
