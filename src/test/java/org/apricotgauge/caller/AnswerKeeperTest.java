package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

class AnswerKeeperTest {
    private final List<String> mWritten = new ArrayList<>();
    private final List<CompletableFuture<Void>> mInterims = new ArrayList<>();
    private final Timer mTimer = new Timer();
    private final AnswerKeeper mKeeper = new AnswerKeeper(null, new Wire(), 100, mTimer);

    /** Notes what is written; interim answers end when the test ends them. */
    private final class Wire extends Response.Wrapper {
        Wire() {
            super(null, null);
        }

        @Override
        public CompletableFuture<Void> writeInterim(int status, HttpFields headers) {
            mWritten.add("interim " + status);
            mInterims.add(new CompletableFuture<>());
            return mInterims.get(mInterims.size() - 1);
        }

        @Override
        public void write(boolean last, ByteBuffer content, Callback callback) {
            mWritten.add("answer");
        }
    }

    /** Runs the one pending task when told to. */
    private static final class Timer extends AbstractLifeCycle implements Scheduler {
        private Runnable mPending;

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            assertThat(unit.toMillis(delay)).isEqualTo(1_000);
            mPending = task;
            return () -> {
                mPending = null;
                return true;
            };
        }

        void fire() {
            Runnable task = mPending;
            mPending = null;
            task.run();
        }
    }

    @Test
    void speaksEverySecondUntilTheAnswerBeginsAndNeverTwiceAtOnce() {
        mKeeper.acknowledge();
        mTimer.fire();
        assertThat(mWritten).as("the first is still being written").containsExactly("interim 102");
        mInterims.get(0).complete(null);
        mTimer.fire();
        assertThat(mWritten).containsExactly("interim 102", "interim 102");

        mKeeper.write(true, ByteBuffer.allocate(0), Callback.NOOP);
        assertThat(mWritten).as("waits for the interim answer").hasSize(2);
        mInterims.get(1).complete(null);

        assertThat(mWritten).containsExactly("interim 102", "interim 102", "answer");
        assertThat(mTimer.mPending).isNull();
    }
}
