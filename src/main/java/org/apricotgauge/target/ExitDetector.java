package org.apricotgauge.target;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Tells targets that ended while they ran requests from connections that broke for other reasons.
 *
 * <pre>{@code
 * ExitWatch exits = ExitWatch.of(client, scheduler, takesWork, (target, runs) -> ...);
 * exits.broken(target, run);
 * }</pre>
 *
 * <p>A reset connection looks the same in both cases. After the first run that breaks, the target
 * is asked for a new connection: where none listens any more, all runs that broke until then ended
 * with the process. A target that is expected to leave is not asked. Thread-safe.
 */
public final class ExitDetector {
    /** Time in which the other connections of a process that ends break as well. */
    static final long SETTLE_MILLIS = 30;

    /** Longest wait for the target's answer before a caller is told of its broken run. */
    static final long MAX_WAIT_MILLIS = 100;

    /** Most runs that are told of one end; the first to break are kept. */
    static final int MAX_RUNS = 256;

    private final TargetProbe mProbe;
    private final Scheduler mScheduler;
    private final Predicate<Target> mAcceptsRequests;
    private final BiConsumer<Target, List<BrokenRun>> mOnExit;
    private final ConcurrentMap<String, ExitCheck> mChecks = new ConcurrentHashMap<>();

    /** One question to a target, and the runs that broke until its answer. */
    private static final class ExitCheck {
        private final List<BrokenRun> mRuns = new ArrayList<>();
        private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    }

    /**
     * Creates a watch.
     *
     * @param probe asks a target for a connection
     * @param scheduler waits for further runs to break
     * @param takesWork whether a target is there and not leaving
     * @param onEnd hears of a target that ended, and of the runs that it took along
     */
    ExitDetector(
            TargetProbe probe,
            Scheduler scheduler,
            Predicate<Target> takesWork,
            BiConsumer<Target, List<BrokenRun>> onEnd) {
        mProbe = probe;
        mScheduler = scheduler;
        mAcceptsRequests = takesWork;
        mOnExit = onEnd;
    }

    /**
     * Creates a watch that connects to targets as the client does.
     *
     * @param takesWork whether a target is there and not leaving
     * @param onEnd hears of a target that ended, and of the runs that it took along
     */
    public static ExitDetector of(
            HttpClient client,
            Scheduler scheduler,
            Predicate<Target> takesWork,
            BiConsumer<Target, List<BrokenRun>> onEnd) {
        return new ExitDetector(TargetProbe.using(client), scheduler, takesWork, onEnd);
    }

    /**
     * Takes in a run whose connection broke before its answer was whole.
     *
     * @return completes once the end of the target, if it has ended, was told; at the latest after
     *     {@link #MAX_WAIT_MILLIS}
     */
    public CompletableFuture<Void> reportBrokenRun(Target target, BrokenRun run) {
        if (!mAcceptsRequests.test(target)) {
            return CompletableFuture.completedFuture(null);
        }
        return mChecks.compute(target.id(), (id, check) -> addRun(target, check, run)).mDone;
    }

    private ExitCheck addRun(Target target, ExitCheck present, BrokenRun run) {
        ExitCheck check = present;
        if (check == null) {
            ExitCheck first = new ExitCheck();
            mScheduler.schedule(() -> probe(target), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
            mScheduler.schedule(
                    () -> first.mDone.complete(null), MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            check = first;
        }
        if (check.mRuns.size() < MAX_RUNS) {
            check.mRuns.add(run);
        }
        return check;
    }

    private void probe(Target target) {
        mProbe.probe(target).thenAccept(answer -> handleProbeResult(target, answer));
    }

    private void handleProbeResult(Target target, TargetProbe.Result answer) {
        ExitCheck check = mChecks.remove(target.id());
        if (check == null) {
            return;
        }
        if (answer == TargetProbe.Result.REFUSED) {
            mOnExit.accept(target, List.copyOf(check.mRuns));
        }
        check.mDone.complete(null);
    }
}
