package org.apricotgauge.bench.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.model.Checks;
import org.jboss.logging.Logger;

/**
 * Time that the threads which carry a process's stop were ready to run and got no processor.
 *
 * <pre>{@code
 * ProcessorWait wait = ProcessorWait.startAt(Path.of("/proc/4711"), Set.of("node-drain"));
 * wait.sample();   // every 100 ms, since a thread that ends takes its figures along
 * long millis = wait.millis();
 * }</pre>
 *
 * <p>The kernel counts it for each thread, in nanoseconds: the second figure of {@code schedstat}
 * (Linux, Documentation/scheduler/sched-stats). Threads that run one after the other are counted,
 * since waits of threads that run side by side don't add up to a later end. Thread-safe.
 */
final class ProcessorWait {
    private static final Logger LOGGER = Logger.getLogger(ProcessorWait.class);

    /**
     * Threads with another name are looked at again at every tenth sample: one that has not run yet
     * has its creator's name.
     */
    private static final int OTHERS_EVERY = 10;

    private final Path mProcess;
    private final Set<String> mThreadNames;
    private final Set<String> mOtherThreads = new HashSet<>();
    private final Map<String, Long> mFirstNanos = new HashMap<>();
    private final Map<String, Long> mLastNanos = new HashMap<>();
    private long mSamples;

    private ProcessorWait(Path process, Set<String> threadNames) {
        mProcess = Checks.notNull("process", process);
        mThreadNames = Set.copyOf(threadNames);
    }

    /**
     * Begins to count, with what the threads have waited so far left out.
     *
     * @param process directory of the process in the kernel's file system
     * @param threadNames names of the threads to count, as the kernel cuts them: 15 characters
     */
    static ProcessorWait startAt(Path process, Set<String> threadNames) {
        ProcessorWait wait = new ProcessorWait(process, threadNames);
        wait.sample();
        synchronized (wait) {
            wait.mFirstNanos.putAll(wait.mLastNanos);
        }
        return wait;
    }

    /** Reads the threads' figures; nothing once the process has ended. */
    synchronized void sample() {
        mSamples++;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(mProcess.resolve("task"))) {
            for (Path thread : threads) {
                sampleThread(thread);
            }
        } catch (IOException e) {
            LOGGER.debugf("no threads of %s: %s", mProcess, e);
        }
    }

    private void sampleThread(Path thread) {
        String number = thread.getFileName().toString();
        if (mOtherThreads.contains(number) && mSamples % OTHERS_EVERY != 0) {
            return;
        }
        try {
            if (!mThreadNames.contains(Files.readString(thread.resolve("comm")).strip())) {
                mOtherThreads.add(number);
                return;
            }
            mOtherThreads.remove(number);
            String[] figures = Files.readString(thread.resolve("schedstat")).strip().split(" ");
            mLastNanos.put(number, Long.parseLong(figures[1]));
        } catch (IOException e) {
            LOGGER.debugf("thread %s has ended: %s", thread, e);
        }
    }

    /** Returns the time waited since the start, in milliseconds. */
    synchronized long millis() {
        long nanos = 0;
        for (Map.Entry<String, Long> last : mLastNanos.entrySet()) {
            nanos += last.getValue() - mFirstNanos.getOrDefault(last.getKey(), 0L);
        }
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
