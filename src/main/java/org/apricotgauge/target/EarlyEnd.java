package org.apricotgauge.target;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apricotgauge.http.client.UpstreamExchange;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Ends a run before its target has answered, and keeps why.
 *
 * <pre>{@code
 * earlyEnd.setExchange(client.send(request, listener));
 * earlyEnd.end(EarlyEnd.Reason.DEADLINE);
 * }</pre>
 *
 * <p>Only the first reason counts; it is logged unless nothing was sent to the target. Thread-safe.
 */
final class EarlyEnd {
    private final RunEventLog mLog;
    private final BooleanSupplier mHasEnded;
    private final AtomicReference<Reason> mReason = new AtomicReference<>();
    private volatile UpstreamExchange mExchange;
    private volatile Scheduler.Task mDeadlineTask;

    /** Why a run was ended. */
    enum Reason {
        /** It was taken for hung and paid for at another target. */
        HUNG,
        /** This node ends soon; the run was paid for at another target. */
        HANDED_OVER,
        /** This node is at its last moment. */
        NODE_ENDING,
        /** The entry cancelled the attempt by a message. */
        ABANDONED,
        /** The entry closed the connection or stream of the attempt. */
        ENTRY_DISCONNECTED,
        /** The deadline of the request passed. */
        DEADLINE
    }

    /**
     * Creates the early end of a run.
     *
     * @param hasEnded whether the attempt has ended otherwise; no reason is kept then
     */
    EarlyEnd(RunEventLog log, BooleanSupplier hasEnded) {
        mLog = log;
        mHasEnded = hasEnded;
    }

    /** Ends the run once the time left to the deadline of its request has passed. */
    void startDeadline(Scheduler scheduler, long remainingMillis) {
        mDeadlineTask =
                scheduler.schedule(
                        () -> end(Reason.DEADLINE), remainingMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops waiting for the deadline. */
    void stopDeadline() {
        Scheduler.Task deadlineTask = mDeadlineTask;
        if (deadlineTask != null) {
            deadlineTask.cancel();
        }
    }

    /** Sets what the run is sent with; aborts it if it was ended in the meantime. */
    void setExchange(UpstreamExchange exchange) {
        mExchange = exchange;
        Reason reason = mReason.get();
        if (reason != null) {
            abort(reason);
        }
    }

    boolean hasExchange() {
        return mExchange != null;
    }

    /** Ends the run at its target. */
    void end(Reason reason) {
        boolean first = !mHasEnded.getAsBoolean() && mReason.compareAndSet(null, reason);
        abort(reason);
        if (first) {
            mLog.endedEarly(reason);
        }
    }

    /** Aborts the exchange with the target, if there is one. */
    void abort(Reason reason) {
        UpstreamExchange exchange = mExchange;
        if (exchange != null) {
            exchange.abort(new TimeoutException("run was ended early: " + reason));
        }
    }

    /** Records why the run has ended, unless a reason was recorded before. */
    void record(Reason reason) {
        if (mReason.compareAndSet(null, reason)) {
            mLog.endedEarly(reason);
        }
    }

    boolean isRecorded() {
        return mReason.get() != null;
    }

    boolean isBy(Reason reason) {
        return mReason.get() == reason;
    }
}
