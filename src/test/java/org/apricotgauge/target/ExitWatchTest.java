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

class ExitWatchTest {
    private static final Target TARGET = new Target("t", "s", "vm", "here", "127.0.0.1", 80, 3);

    private final LaterScheduler mScheduler = new LaterScheduler();
    private final List<BrokenRun> mTold = new ArrayList<>();
    private CompletableFuture<TargetProbe.Answer> mAnswer = new CompletableFuture<>();
    private int mQuestions;
    private boolean mTakesWork = true;

    private final ExitWatch mExits =
            new ExitWatch(
                    target -> {
                        mQuestions++;
                        return mAnswer;
                    },
                    mScheduler,
                    target -> mTakesWork,
                    (target, runs) -> mTold.addAll(runs));

    @Test
    void allRunsThatBreakTogetherEndedWithTheirTarget() {
        mExits.broken(TARGET, run("a"));
        mExits.broken(TARGET, run("b"));
        mScheduler.runAll();
        mAnswer.complete(TargetProbe.Answer.REFUSES);

        assertThat(mTold).extracting(BrokenRun::id).containsExactly("a", "b");
        assertThat(mQuestions).isEqualTo(1);
    }

    // Guards against taking a target that resets connections for one that crashes.
    @Test
    void aTargetThatAcceptsConnectionsHasNotEnded() {
        mExits.broken(TARGET, run("a"));
        mScheduler.runAll();
        mAnswer.complete(TargetProbe.Answer.ACCEPTS);

        assertThat(mTold).isEmpty();
    }

    // Guards against taking a machine that lost power, or a cut, for a crash.
    @Test
    void silenceTellsNothing() {
        mExits.broken(TARGET, run("a"));
        mScheduler.runAll();
        mAnswer.complete(TargetProbe.Answer.SILENT);

        assertThat(mTold).isEmpty();
    }

    // Guards against taking a target that was replaced for one that crashed.
    @Test
    void aTargetThatLeavesIsNotAsked() {
        mTakesWork = false;
        mExits.broken(TARGET, run("a"));

        assertThat(mScheduler.mTasks).isEmpty();
    }

    // Guards against a request that is sent to its next target before the end of this one is known.
    @Test
    void aBrokenRunWaitsUntilTheEndWasTold() {
        CompletableFuture<Void> told = mExits.broken(TARGET, run("a"));
        mScheduler.runNext();
        assertThat(told).isNotDone();

        mAnswer.complete(TargetProbe.Answer.REFUSES);

        assertThat(told).isCompleted();
        assertThat(mTold).hasSize(1);
    }

    // Guards against a caller that waits for a target which does not answer.
    @Test
    void theWaitIsBounded() {
        CompletableFuture<Void> told = mExits.broken(TARGET, run("a"));
        mScheduler.runAll();

        assertThat(told).isCompleted();
    }

    @Test
    void theNextEndIsAskedForAnew() {
        mExits.broken(TARGET, run("a"));
        mScheduler.runAll();
        mAnswer.complete(TargetProbe.Answer.ACCEPTS);
        mAnswer = CompletableFuture.completedFuture(TargetProbe.Answer.REFUSES);
        mExits.broken(TARGET, run("b"));
        mScheduler.runAll();

        assertThat(mTold).extracting(BrokenRun::id).containsExactly("b");
    }

    private static BrokenRun run(String id) {
        return new BrokenRun(id, new Fingerprint(1, 0), "GET site/x");
    }

    /** Runs what is due when the test says so. */
    private static final class LaterScheduler extends AbstractLifeCycle implements Scheduler {
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
