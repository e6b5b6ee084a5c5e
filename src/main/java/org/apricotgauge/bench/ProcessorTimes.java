package org.apricotgauge.bench;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * User and system time of a process, as Linux counts it.
 *
 * @param millis time of the whole process, with that of threads that have ended
 * @param byThread the same by name of the thread, without digits
 */
record ProcessorTimes(long millis, Map<String, Long> byThread) {
    private static final long MILLIS_PER_TICK = 10;
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;

    /** Name under which the time of threads that have ended is given. */
    private static final String ENDED = "threads that ended";

    ProcessorTimes {
        byThread = Map.copyOf(byThread);
    }

    /** Reads the times of a running process. */
    static ProcessorTimes read(long pid) throws IOException {
        Path process = Path.of("/proc", "" + pid);
        Map<String, Long> byThread = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(process.resolve("task"))) {
            for (Path thread : threads) {
                addTime(byThread, thread);
            }
        }
        long millis = timeOf(Files.readString(process.resolve("stat")));
        long livingMillis = byThread.values().stream().mapToLong(Long::longValue).sum();
        byThread.put(ENDED, millis - livingMillis);
        return new ProcessorTimes(millis, byThread);
    }

    private static void addTime(Map<String, Long> byThread, Path thread) throws IOException {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
            byThread.merge(name.replaceAll("[0-9.]+", "*"), timeOf(stat), Long::sum);
        } catch (NoSuchFileException e) {
            // The thread has ended since the directory was read.
            return;
        }
    }

    private static long timeOf(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]))
                * MILLIS_PER_TICK;
    }

    ProcessorTimes plus(ProcessorTimes other) {
        return combine(other, 1);
    }

    ProcessorTimes minus(ProcessorTimes earlier) {
        return combine(earlier, -1);
    }

    private ProcessorTimes combine(ProcessorTimes other, int sign) {
        Map<String, Long> sums = new TreeMap<>(byThread);
        other.byThread.forEach((name, time) -> sums.merge(name, sign * time, Long::sum));
        return new ProcessorTimes(millis + sign * other.millis, sums);
    }
}
