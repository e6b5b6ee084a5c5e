package org.apricotgauge.target;

import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Target;

/** When an attempt arrived, got its slot and was sent; logs its start. */
final class RunTimes {
    private final GuardContext mContext;
    private final long mArrivedMillis;
    private volatile long mAdmittedMillis;
    private volatile SiteView mSiteView = SiteView.NONE;
    private volatile long mSentNanos;
    private volatile long mSentMillis;
    private volatile boolean mStarted;

    /** Creates the times of an attempt that has just arrived. */
    RunTimes(GuardContext context) {
        mContext = context;
        mArrivedMillis = context.ticker().millis();
    }

    long arrivedMillis() {
        return mArrivedMillis;
    }

    void onAdmitted() {
        mAdmittedMillis = mContext.ticker().millis();
        mSiteView = mContext.observer().siteView();
    }

    void onSent() {
        mSentNanos = mContext.ticker().nanos();
        mSentMillis = mContext.ticker().millis();
    }

    long sentMillis() {
        return mSentMillis;
    }

    /** Returns the time since the attempt was sent, in nanoseconds. */
    long serviceNanos() {
        return Math.max(0, mContext.ticker().nanos() - mSentNanos);
    }

    /** Returns the time since the attempt was sent, in milliseconds; 0 before that. */
    long serviceMillis() {
        return mStarted ? TimeUnit.NANOSECONDS.toMillis(serviceNanos()) : 0;
    }

    /** Returns whether the target was sent the attempt. */
    boolean hasStarted() {
        return mStarted;
    }

    void onStarted(RunIdentity identity, Target target, Attempt attempt) {
        mStarted = true;
        mContext.log()
                .started(
                        new TargetRunLog.Started(
                                identity.id(),
                                identity.fingerprint().toString(),
                                target.id(),
                                attempt.toString(),
                                mSiteView,
                                mAdmittedMillis - mArrivedMillis,
                                mContext.ticker().millis() - mAdmittedMillis));
    }
}
