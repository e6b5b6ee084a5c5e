package org.apricotgauge.bench.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Checks;
import org.jboss.logging.Logger;

/** The platform's part at one VM: starts the node's process, and stops it as the platform does. */
final class SoakNode {
    private static final Logger LOGGER = Logger.getLogger(SoakNode.class);
    private static final long SAMPLE_EVERY_MILLIS = 20;

    /** The threads of a node that carry its stop, one after the other. */
    private static final Set<String> STOP_THREADS =
            Set.of("Signal Dispatch", "SIGTERM handler", "node-drain", "VM Thread");

    private final int mNumber;
    private final Program mProgram;
    private final long mKillMillis;
    private final ScheduledExecutorService mTimer;
    private final LongSupplier mMillis;
    private final Consumer<Signal> mSignals;
    private NodeProcess mProcess;
    private boolean mIsStopping;
    private boolean mIsClosed;

    /**
     * What a node runs.
     *
     * @param classPath class path of its build
     * @param flags its flags
     * @param log its log
     */
    record Program(String classPath, List<String> flags, Path log) {
        Program {
            flags = List.copyOf(flags);
        }
    }

    SoakNode(
            int number,
            Program program,
            long killMillis,
            ScheduledExecutorService timer,
            LongSupplier millis,
            Consumer<Signal> signals) {
        mNumber = number;
        mProgram = Checks.notNull("program", program);
        mKillMillis = killMillis;
        mTimer = Checks.notNull("timer", timer);
        mMillis = Checks.notNull("millis", millis);
        mSignals = Checks.notNull("signals", signals);
    }

    synchronized void start() throws IOException {
        if (mIsClosed) {
            return;
        }
        mProcess = NodeProcess.start(mProgram.classPath(), mProgram.flags(), mProgram.log());
        mIsStopping = false;
        record(Signal.Kind.STARTED);
    }

    /** Sends a signal; nothing if no process runs. */
    synchronized void signal(PlannedSignal planned) throws IOException, InterruptedException {
        if (mProcess == null || !mProcess.isAlive()) {
            return;
        }
        switch (planned.kind()) {
            case STOP -> stop(planned);
            case STOP_AGAIN -> stopAgain();
            case KILL -> kill(planned);
            case RELOAD -> send("HUP", planned.kind());
            case PAUSE -> send("STOP", planned.kind());
            case RESUME -> send("CONT", planned.kind());
            default -> throw new IllegalArgumentException("not to be planned: " + planned.kind());
        }
    }

    private void send(String name, Signal.Kind kind) throws IOException, InterruptedException {
        record(kind);
        mProcess.signal(name);
    }

    private void stop(PlannedSignal planned) {
        if (mIsStopping) {
            return;
        }
        mIsStopping = true;
        record(Signal.Kind.STOP);
        NodeProcess process = mProcess;
        ProcessorWait wait = ProcessorWait.startAt(process.kernelDirectory(), STOP_THREADS);
        long signalMillis = mMillis.getAsLong();
        process.terminate();
        sample(process, wait);
        process.onExit().thenRun(() -> checkEnd(signalMillis, wait));
        restartAfterExit(process, planned);
        later(() -> killLate(process), mKillMillis);
    }

    private void sample(NodeProcess process, ProcessorWait wait) {
        if (process.isAlive()) {
            wait.sample();
            later(() -> sample(process, wait), SAMPLE_EVERY_MILLIS);
        }
    }

    private void checkEnd(long signalMillis, ProcessorWait wait) {
        long lastedMillis = mMillis.getAsLong() - signalMillis;
        if (isLate(lastedMillis, wait.millis())) {
            LOGGER.warnf(
                    "node %d ended %d ms after SIGTERM, %d ms of waits for a processor included",
                    mNumber, lastedMillis, wait.millis());
            record(Signal.Kind.ENDED_LATE);
        }
    }

    /**
     * Returns whether a process ended too late by itself.
     *
     * @param lastedMillis time from SIGTERM to its end
     * @param waitedMillis part of it in which its stop was ready to run and got no processor
     */
    static boolean isLate(long lastedMillis, long waitedMillis) {
        return lastedMillis - waitedMillis > SoakFleet.STOP_MILLIS;
    }

    private void stopAgain() {
        if (mIsStopping) {
            record(Signal.Kind.STOP_AGAIN);
            mProcess.terminate();
        }
    }

    private void kill(PlannedSignal planned) {
        boolean isRestartPlanned = mIsStopping;
        mIsStopping = true;
        record(Signal.Kind.KILL);
        mProcess.kill();
        if (!isRestartPlanned) {
            restartAfterExit(mProcess, planned);
        }
    }

    private synchronized void killLate(NodeProcess process) {
        if (process.isAlive()) {
            record(Signal.Kind.KILL_LATE);
            process.kill();
        }
    }

    private void restartAfterExit(NodeProcess process, PlannedSignal planned) {
        long upMillis = mMillis.getAsLong() + planned.downMillis();
        process.onExit()
                .thenRun(
                        () -> {
                            record(Signal.Kind.ENDED);
                            long leftMillis = upMillis - mMillis.getAsLong();
                            later(
                                    () -> restart(planned),
                                    Math.max(planned.restartMillis(), leftMillis));
                        });
    }

    private synchronized void restart(PlannedSignal planned) {
        try {
            start();
        } catch (IOException e) {
            LOGGER.errorf(e, "node %d does not start", mNumber);
            return;
        }
        if (planned.stopAgainMillis() != PlannedSignal.NEVER) {
            NodeProcess process = mProcess;
            later(() -> stopRestarted(process), planned.stopAgainMillis());
        }
    }

    private synchronized void stopRestarted(NodeProcess process) {
        if (process == mProcess && process.isAlive()) {
            stop(PlannedSignal.stop(0, mNumber, 0));
        }
    }

    private void later(Runnable step, long millis) {
        if (!mTimer.isShutdown()) {
            mTimer.schedule(step, millis, TimeUnit.MILLISECONDS);
        }
    }

    private void record(Signal.Kind kind) {
        mSignals.accept(new Signal(mNumber, kind, mMillis.getAsLong()));
    }

    /** Ends the process at once; none starts any more. */
    synchronized void close() {
        mIsClosed = true;
        if (mProcess != null) {
            mProcess.kill();
        }
    }
}
