package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

class ExitDetectorTest {
    private static final Target TARGET = new Target("t", "s", "vm", "here", "127.0.0.1", 80, 3);

    private final ManualScheduler mScheduler = new ManualScheduler();
    private final List<BrokenRun> mReportedRuns = new ArrayList<>();
    private CompletableFuture<TargetProbe.Result> mProbeResult = new CompletableFuture<>();
    private int mProbes;
    private boolean mAcceptsRequests = true;

    private final ExitDetector mDetector =
            new ExitDetector(
                    target -> {
                        mProbes++;
                        return mProbeResult;
                    },
                    mScheduler,
                    target -> mAcceptsRequests,
                    (target, runs) -> mReportedRuns.addAll(runs));

    @Test
    void refusedConnectionReportsAllBrokenRuns() {
        mDetector.reportBrokenRun(TARGET, run("a"));
        mDetector.reportBrokenRun(TARGET, run("b"));
        mScheduler.runAll();
        mProbeResult.complete(TargetProbe.Result.REFUSED);

        assertThat(mReportedRuns).extracting(BrokenRun::id).containsExactly("a", "b");
        assertThat(mProbes).isEqualTo(1);
    }

    // Guards against reporting a crash of a target that only resets connections.
    @Test
    void acceptedConnectionReportsNothing() {
        mDetector.reportBrokenRun(TARGET, run("a"));
        mScheduler.runAll();
        mProbeResult.complete(TargetProbe.Result.ACCEPTED);

        assertThat(mReportedRuns).isEmpty();
    }

    // Guards against reporting a crash when the machine lost power or the network is partitioned.
    @Test
    void unreachableTargetReportsNothing() {
        mDetector.reportBrokenRun(TARGET, run("a"));
        mScheduler.runAll();
        mProbeResult.complete(TargetProbe.Result.UNREACHABLE);

        assertThat(mReportedRuns).isEmpty();
    }

    // Guards against reporting a crash of a target that was replaced.
    @Test
    void drainingTargetIsNotProbed() {
        mAcceptsRequests = false;
        mDetector.reportBrokenRun(TARGET, run("a"));

        assertThat(mScheduler.mTasks).isEmpty();
    }

    // Guards against sending a request to its next target before the crash of this one is known.
    @Test
    void futureCompletesAfterTheExitIsReported() {
        CompletableFuture<Void> reported = mDetector.reportBrokenRun(TARGET, run("a"));
        mScheduler.runNext();
        assertThat(reported).isNotDone();

        mProbeResult.complete(TargetProbe.Result.REFUSED);

        assertThat(reported).isCompleted();
        assertThat(mReportedRuns).hasSize(1);
    }

    // Guards against a caller that waits for the probe of an unresponsive target.
    @Test
    void waitIsBounded() {
        CompletableFuture<Void> reported = mDetector.reportBrokenRun(TARGET, run("a"));
        mScheduler.runAll();

        assertThat(reported).isCompleted();
    }

    @Test
    void laterBrokenRunIsProbedAgain() {
        mDetector.reportBrokenRun(TARGET, run("a"));
        mScheduler.runAll();
        mProbeResult.complete(TargetProbe.Result.ACCEPTED);
        mProbeResult = CompletableFuture.completedFuture(TargetProbe.Result.REFUSED);
        mDetector.reportBrokenRun(TARGET, run("b"));
        mScheduler.runAll();

        assertThat(mReportedRuns).extracting(BrokenRun::id).containsExactly("b");
    }

    private static BrokenRun run(String id) {
        return new BrokenRun(id, new Fingerprint(1, 0), "GET site/x");
    }

    /** Runs scheduled tasks when the test calls for it. */
    private static final class ManualScheduler extends AbstractLifeCycle implements Scheduler {
        private final List<Runnable> mTasks = new ArrayList<>();

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            mTasks.add(task);
            return () -> mTasks.remove(task);
        }

        private void runNext() {
            mTasks.remove(0).run();
        }

        private void runAll() {
            List<Runnable> due = List.copyOf(mTasks);
            mTasks.clear();
            due.forEach(Runnable::run);
        }
    }
}
