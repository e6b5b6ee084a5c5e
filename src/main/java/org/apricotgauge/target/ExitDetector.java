package org.apricotgauge.target;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.Target;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Detects whether connections to a target broke because the target's process ended.
 *
 * <pre>{@code
 * ExitDetector detector = ExitDetector.of(client, scheduler, acceptsRequests, onExit);
 * detector.reportBrokenRun(target, run);
 * }</pre>
 *
 * <p>A reset connection alone does not show why it was reset. After the first broken run, the
 * target is probed with a new connection. If the connection is refused, the process has ended, and
 * all runs that broke until then ended with it. A target that is leaving is not probed, since its
 * end is expected. Thread-safe.
 */
public final class ExitDetector {
    /** Delay before the probe, within which all other connections of an ended process break. */
    static final long SETTLE_MILLIS = 30;

    /** Longest time for which the outcome of a broken run is delayed for the probe. */
    static final long MAX_WAIT_MILLIS = 100;

    /** Most runs that are reported with one exit; the first to break are kept. */
    static final int MAX_RUNS = 256;

    private final TargetProbe mProbe;
    private final Scheduler mScheduler;
    private final Predicate<Target> mAcceptsRequests;
    private final BiConsumer<Target, List<BrokenRun>> mOnExit;
    private final ConcurrentMap<String, ExitCheck> mChecks = new ConcurrentHashMap<>();

    /** One probe of a target, and the runs that broke before its result arrived. */
    private static final class ExitCheck {
        private final List<BrokenRun> mRuns = new ArrayList<>();
        private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    }

    /**
     * Creates a detector.
     *
     * @param probe probes a target with a connection
     * @param scheduler schedules the probes and bounds the wait for their results
     * @param acceptsRequests whether a target is registered and not leaving
     * @param onExit called with a target that ended and the runs that broke with it
     */
    ExitDetector(
            TargetProbe probe,
            Scheduler scheduler,
            Predicate<Target> acceptsRequests,
            BiConsumer<Target, List<BrokenRun>> onExit) {
        mProbe = probe;
        mScheduler = scheduler;
        mAcceptsRequests = acceptsRequests;
        mOnExit = onExit;
    }

    /**
     * Creates a detector that probes targets with the connections of an HTTP client.
     *
     * @param acceptsRequests whether a target is registered and not leaving
     * @param onExit called with a target that ended and the runs that broke with it
     */
    public static ExitDetector of(
            UpstreamClient client,
            Scheduler scheduler,
            Predicate<Target> acceptsRequests,
            BiConsumer<Target, List<BrokenRun>> onExit) {
        return new ExitDetector(TargetProbe.using(client), scheduler, acceptsRequests, onExit);
    }

    /**
     * Handles a run whose connection broke before its answer was complete.
     *
     * @return completes once the exit of the target, if it has ended, was reported; at the latest
     *     after {@link #MAX_WAIT_MILLIS}
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
        mProbe.probe(target).thenAccept(result -> handleProbeResult(target, result));
    }

    private void handleProbeResult(Target target, TargetProbe.Result result) {
        ExitCheck check = mChecks.remove(target.id());
        if (check == null) {
            return;
        }
        if (result == TargetProbe.Result.REFUSED) {
            mOnExit.accept(target, List.copyOf(check.mRuns));
        }
        check.mDone.complete(null);
    }
}
