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

class CapturingResponseTest {
    private final List<String> mWritten = new ArrayList<>();
    private final List<CompletableFuture<Void>> mInterimWrites = new ArrayList<>();
    private final ManualScheduler mScheduler = new ManualScheduler();
    private final CapturingResponse mResponse =
            new CapturingResponse(null, new RecordingResponse(), 100, mScheduler);

    /** Records what is written; interim responses complete when the test completes them. */
    private final class RecordingResponse extends Response.Wrapper {
        RecordingResponse() {
            super(null, null);
        }

        @Override
        public CompletableFuture<Void> writeInterim(int status, HttpFields headers) {
            mWritten.add("interim " + status);
            mInterimWrites.add(new CompletableFuture<>());
            return mInterimWrites.get(mInterimWrites.size() - 1);
        }

        @Override
        public void write(boolean last, ByteBuffer content, Callback callback) {
            mWritten.add("answer");
        }
    }

    /** Runs the pending task on demand. */
    private static final class ManualScheduler extends AbstractLifeCycle implements Scheduler {
        private Runnable mPendingTask;

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            assertThat(unit.toMillis(delay)).isEqualTo(1_000);
            mPendingTask = task;
            return () -> {
                mPendingTask = null;
                return true;
            };
        }

        void runPendingTask() {
            Runnable task = mPendingTask;
            mPendingTask = null;
            task.run();
        }
    }

    // Guards against an entry that treats a long booking as a dead path, and against two writes at
    // the same time, which a response doesn't permit.
    @Test
    void sendsHeartbeatsUntilTheAnswerBeginsWithoutOverlap() {
        mResponse.sendHeartbeat();
        mScheduler.runPendingTask();
        assertThat(mWritten)
                .as("the first interim response is still being written")
                .containsExactly("interim 102");
        mInterimWrites.get(0).complete(null);
        mScheduler.runPendingTask();
        assertThat(mWritten).containsExactly("interim 102", "interim 102");

        mResponse.write(true, ByteBuffer.allocate(0), Callback.NOOP);
        assertThat(mWritten).as("the answer waits for the interim response").hasSize(2);
        mInterimWrites.get(1).complete(null);

        assertThat(mWritten).containsExactly("interim 102", "interim 102", "answer");
        assertThat(mScheduler.mPendingTask).isNull();
    }
}
