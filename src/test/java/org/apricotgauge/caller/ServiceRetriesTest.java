package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.retry.RetryQueue;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.decision.retry.ReturnSchedule;
import org.apricotgauge.model.Priority;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

/** Requests that wait for a retry at an entry, without a network. */
class ServiceRetriesTest {
    private static final long USE_MILLIS = 5_000;

    private final ManualTicker mTicker = new ManualTicker();
    private final ManualScheduler mScheduler = new ManualScheduler();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final ServiceRetries mRetries =
            new ServiceRetries(mScheduler, mTicker, new RetryMetrics(mRegistry), 0.2);

    /** Runs tasks when the test says so. */
    private static final class ManualScheduler extends AbstractLifeCycle implements Scheduler {
        private final List<Runnable> mTasks = new ArrayList<>();

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit units) {
            mTasks.add(task);
            return () -> mTasks.remove(task);
        }

        void runAll() {
            List<Runnable> tasks = List.copyOf(mTasks);
            mTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /** Records what it is told. */
    private static class Waiter implements RetryWaiter {
        private final List<String> mTold = new ArrayList<>();
        private boolean mEnded;
        private boolean mFails;

        @Override
        public boolean hasEnded() {
            throwIfFailing();
            return mEnded;
        }

        @Override
        public void resume(boolean prepaid) {
            throwIfFailing();
            mTold.add(prepaid ? "prepaid" : "look");
        }

        @Override
        public void refuse(RetryQueue.Refusal<RetryWaiter> refusal) {
            throwIfFailing();
            mTold.add(refusal.reason().name());
        }

        private void throwIfFailing() {
            if (mFails) {
                throw new IllegalStateException("fails as told");
            }
        }
    }

    private RetryQueue.Place<RetryWaiter> place(Waiter waiter, Priority priority) {
        long now = mTicker.millis();
        return new RetryQueue.Place<>(
                waiter,
                priority,
                now,
                now + 1_000,
                now + USE_MILLIS,
                0,
                ReturnSchedule.Arrival.NEW);
    }

    /** Makes the next request wait: one look was made, and no guard had a retry. */
    private void exhaust() {
        mRetries.tryGo(place(new Waiter(), Priority.CRITICAL), false);
        mRetries.onNoRetry();
    }

    /** Guards against a retry that a patient request uses while an urgent one waits. */
    @Test
    void aPrepaidRetryGoesToTheFirstInRank() {
        exhaust();
        Waiter urgent = new Waiter();
        Waiter patient = new Waiter();
        assertThat(mRetries.tryGo(place(urgent, Priority.URGENT), false)).isFalse();
        assertThat(mRetries.firstWaitingRank())
                .contains(new RetryRank(RetryRank.Use.FULL, Priority.URGENT));

        assertThat(mRetries.tryGo(place(patient, Priority.PATIENT), true)).isFalse();
        assertThat(urgent.mTold).containsExactly("prepaid");
        mRetries.onWaitingRetryPrepaid();
        assertThat(patient.mTold).containsExactly("prepaid");
        assertThat(mRegistry.counter("entry.retry.waiting").getCount()).isZero();
    }

    /** Guards against requests that all look for a retry at guards that have none. */
    @Test
    void looksBecomeRarerWhileNoGuardHasRetries() {
        exhaust();
        List<Waiter> waiters = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            waiters.add(new Waiter());
            mRetries.tryGo(place(waiters.get(i), Priority.NORMAL), false);
        }
        int looks = 0;
        for (int i = 0; i < 40; i++) {
            mTicker.advanceMillis(50);
            mScheduler.runAll();
            for (Waiter waiter : waiters) {
                if (waiter.mTold.remove("look")) {
                    looks++;
                    mRetries.onNoRetry();
                    mRetries.tryGo(place(waiter, Priority.NORMAL), false);
                }
            }
        }

        assertThat(looks).isBetween(2, 6);
    }

    /** Guards against a wait that goes on when its caller or its node has gone. */
    @Test
    void aRequestThatEndedByItselfIsForgotten() {
        exhaust();
        Waiter waiter = new Waiter();
        mRetries.tryGo(place(waiter, Priority.NORMAL), false);
        waiter.mEnded = true;

        mRetries.onWaitingRetryPrepaid();
        assertThat(waiter.mTold).isEmpty();
        assertThat(mRetries.firstWaitingRank()).isEmpty();
        assertThat(mRegistry.counter("entry.retry.unused_prepayments").getCount()).isEqualTo(1);
    }

    /** Guards against a wait that lasts longer than the answer is of use. */
    @Test
    void aRequestIsRefusedOnceItsAnswerIsOfNoUse() {
        exhaust();
        Waiter waiter = new Waiter();
        mRetries.tryGo(place(waiter, Priority.NORMAL), false);
        mTicker.advanceMillis(USE_MILLIS);
        mScheduler.runAll();

        assertThat(waiter.mTold).containsExactly("OF_NO_USE");
        assertThat(mRegistry.counter("entry.retry.refused.of_no_use").getCount()).isEqualTo(1);
        assertThat(mScheduler.mTasks).isEmpty();
    }

    /** Guards against a queue that is never checked again after one of its requests failed. */
    @Test
    void aRequestThatFailsToEndStopsNoOther() {
        exhaust();
        Waiter failing = new Waiter();
        Waiter other = new Waiter();
        mRetries.tryGo(place(failing, Priority.URGENT), false);
        mRetries.tryGo(place(other, Priority.NORMAL), false);
        failing.mFails = true;
        mScheduler.runAll();
        mTicker.advanceMillis(USE_MILLIS);
        mScheduler.runAll();

        assertThat(other.mTold).containsExactly("OF_NO_USE");
        assertThat(mScheduler.mTasks).isEmpty();
    }

    /** Guards against requests that hang since one that was resumed before them failed. */
    @Test
    void aRequestThatFailsToResumeStopsNoOther() {
        exhaust();
        Waiter failing =
                new Waiter() {
                    @Override
                    public void resume(boolean prepaid) {
                        throw new IllegalStateException("fails as told");
                    }
                };
        Waiter expiring = new Waiter();
        mRetries.tryGo(place(expiring, Priority.NORMAL), false);
        mRetries.tryGo(
                new RetryQueue.Place<>(
                        failing,
                        Priority.URGENT,
                        0,
                        2 * USE_MILLIS,
                        2 * USE_MILLIS,
                        0,
                        ReturnSchedule.Arrival.NEW),
                false);
        mTicker.advanceMillis(USE_MILLIS);
        mScheduler.runAll();

        assertThat(expiring.mTold).containsExactly("OF_NO_USE");
        assertThat(mRetries.firstWaitingRank()).isEmpty();
    }

    /** Guards against an answer that is lost since the request it pays for failed. */
    @Test
    void aPrepaidRetryThatFailsDoesNotFailThePayer() {
        exhaust();
        Waiter failing = new Waiter();
        Waiter next = new Waiter();
        mRetries.tryGo(place(failing, Priority.URGENT), false);
        mRetries.tryGo(place(next, Priority.NORMAL), false);
        failing.mFails = true;
        mRetries.onWaitingRetryPrepaid();

        assertThat(next.mTold).containsExactly("prepaid");
    }
}
