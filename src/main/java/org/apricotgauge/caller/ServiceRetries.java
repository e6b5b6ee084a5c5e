package org.apricotgauge.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.retry.RetryQueue;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.decision.retry.ReturnSchedule;
import org.apricotgauge.decision.retry.ShedMonitor;
import org.apricotgauge.decision.retry.TurnPace;
import org.apricotgauge.model.Priority;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/**
 * The retries of one service at one entry: whether its targets shed, who waits, who goes next.
 *
 * <p>A waiting request goes when a guard has paid for it with an answer to another request, or when
 * it is its turn to look for a guard that has retries left. The lock is held briefly and never
 * during I/O. Thread-safe.
 */
final class ServiceRetries {
    private static final Logger LOG = Logger.getLogger(ServiceRetries.class);
    private static final long CHECK_INTERVAL_MILLIS = 50;
    private static final RetryQueue.Bounds BOUNDS = new RetryQueue.Bounds(64, 1_048_576);

    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private final RetryMetrics mMetrics;
    private final ShedMonitor mMonitor;
    private final RetryQueue<RetryWaiter> mQueue = new RetryQueue<>(BOUNDS);
    private final TurnPace mPace = new TurnPace();
    private final ReturnSchedule mReturns = new ReturnSchedule();
    private boolean mCheckScheduled;

    /**
     * Creates the retries of a service.
     *
     * @param retriesPerRequest retries that the service's budget allows for each request
     */
    ServiceRetries(
            Scheduler scheduler, Ticker ticker, RetryMetrics metrics, double retriesPerRequest) {
        mScheduler = scheduler;
        mTicker = ticker;
        mMetrics = metrics;
        mMonitor = new ShedMonitor(retriesPerRequest);
    }

    /** Records whether a target shed a request that had a slot. */
    void recordOutcome(String targetId, boolean shed) {
        mMonitor.record(targetId, shed, mTicker.millis());
    }

    boolean isShedding() {
        return mMonitor.isShedding(mTicker.millis());
    }

    /** Returns the targets that are the worse choice for a retry. */
    Set<String> lastShedBy() {
        return mMonitor.lastShedBy(mTicker.millis());
    }

    /** Returns the rank of the first waiting request. */
    synchronized Optional<RetryRank> firstWaitingRank() {
        return mQueue.firstRank(mTicker.millis());
    }

    /** Records that a guard had no retry left. */
    synchronized void onNoRetry() {
        mPace.onNoRetry(mTicker.millis());
    }

    /** Records that a retry was sent to a target. */
    synchronized void onRetry() {
        mPace.onRetry();
        mQueue.onRetry(mTicker.millis());
    }

    /** Records a request of a caller. */
    synchronized ReturnSchedule.Arrival onRequest(ReturnSchedule.Caller caller) {
        return mReturns.onRequest(caller, mTicker.millis());
    }

    /** Returns how long a refused caller is told to wait. */
    synchronized long nextReturnMillis(ReturnSchedule.Caller caller, Priority priority) {
        long nowMillis = mTicker.millis();
        return mReturns.nextReturnMillis(
                caller, priority, mQueue.retriesPerSecond(nowMillis), nowMillis);
    }

    /**
     * Decides whether a request that needs a retry is sent now; otherwise it is in the queue, or
     * refused, when this method returns.
     *
     * @param prepaid whether a guard has paid for the retry of this request
     */
    boolean tryGo(RetryQueue.Place<RetryWaiter> place, boolean prepaid) {
        long nowMillis = mTicker.millis();
        Optional<RetryQueue.Place<RetryWaiter>> next;
        List<RetryQueue.Refusal<RetryWaiter>> refused;
        synchronized (this) {
            boolean isFirst =
                    mQueue.firstRank(nowMillis)
                            .filter(first -> first.compareTo(place.rankAt(nowMillis)) < 0)
                            .isEmpty();
            if (isFirst && (prepaid || mPace.tryLook(nowMillis))) {
                mMetrics.countSent(place.rankAt(nowMillis), nowMillis - place.enteredMillis());
                return true;
            }
            int before = mQueue.size();
            next = prepaid ? mQueue.takeFirst(nowMillis) : Optional.empty();
            refused = mQueue.enter(place, nowMillis);
            mMetrics.addWaiting(mQueue.size() - before);
            scheduleCheck();
        }
        next.ifPresent(one -> resume(one, true, nowMillis));
        refused.forEach(one -> refuse(one, nowMillis));
        return false;
    }

    /** Sends the first waiting request, whose retry a guard has paid for. */
    void onWaitingRetryPrepaid() {
        Optional<RetryQueue.Place<RetryWaiter>> next = takeFirst();
        while (next.isPresent() && hasEnded(next.get().request())) {
            next = takeFirst();
        }
        next.ifPresentOrElse(
                one -> resume(one, true, mTicker.millis()), mMetrics::countUnusedPrepayment);
    }

    private synchronized Optional<RetryQueue.Place<RetryWaiter>> takeFirst() {
        Optional<RetryQueue.Place<RetryWaiter>> first = mQueue.takeFirst(mTicker.millis());
        first.ifPresent(one -> mMetrics.addWaiting(-1));
        return first;
    }

    private void scheduleCheck() {
        if (!mCheckScheduled && mQueue.size() > 0) {
            mCheckScheduled = true;
            mScheduler.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        try {
            checkWaiting();
        } finally {
            synchronized (this) {
                mCheckScheduled = false;
                scheduleCheck();
            }
        }
    }

    private void checkWaiting() {
        List<RetryWaiter> waiting;
        synchronized (this) {
            waiting = mQueue.requests();
        }
        List<RetryWaiter> ended = new ArrayList<>(waiting);
        ended.removeIf(one -> !hasEnded(one));
        long nowMillis = mTicker.millis();
        List<RetryQueue.Refusal<RetryWaiter>> expired;
        Optional<RetryQueue.Place<RetryWaiter>> next = Optional.empty();
        synchronized (this) {
            int before = mQueue.size();
            ended.forEach(mQueue::remove);
            expired = mQueue.expire(nowMillis);
            if (mQueue.size() > 0 && mPace.tryLook(nowMillis)) {
                next = mQueue.takeFirst(nowMillis);
            }
            mMetrics.addWaiting(mQueue.size() - before);
        }
        next.ifPresent(one -> resume(one, false, nowMillis));
        expired.forEach(one -> refuse(one, nowMillis));
    }

    // It fails only while it writes a refusal, and then the request has ended.
    private static boolean hasEnded(RetryWaiter request) {
        try {
            return request.hasEnded();
        } catch (RuntimeException e) {
            LOG.error("waiting request failed to end", e);
            return true;
        }
    }

    // The failure of one request must not reach the one that called, or those told after it. It may
    // have been sent, so it isn't refused but left to its deadline.
    private void resume(RetryQueue.Place<RetryWaiter> place, boolean prepaid, long nowMillis) {
        mMetrics.countSent(place.rankAt(nowMillis), nowMillis - place.enteredMillis());
        try {
            place.request().resume(prepaid);
        } catch (RuntimeException e) {
            LOG.error("waiting request failed to resume", e);
        }
    }

    private void refuse(RetryQueue.Refusal<RetryWaiter> refusal, long nowMillis) {
        mMetrics.countRefused(refusal.reason(), nowMillis - refusal.place().enteredMillis());
        try {
            refusal.place().request().refuse(refusal);
        } catch (RuntimeException e) {
            LOG.error("waiting request failed to be refused", e);
        }
    }
}
