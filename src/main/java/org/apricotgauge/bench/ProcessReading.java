package org.apricotgauge.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Processor time and memory of a process of ours, as Linux counts them (proc(5)).
 *
 * @param cpuTicks processor time, user and system, in clock ticks
 * @param residentKilobytes resident memory
 * @param atNanos when it was read
 */
record ProcessReading(long cpuTicks, long residentKilobytes, long atNanos) {
    private static final double TICKS_PER_SECOND = 100.0;
    private static final int KILO = 1_024;
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;

    static ProcessReading of(int pid) throws IOException {
        Path proc = Path.of("/proc", Integer.toString(pid));
        String stat = Files.readString(proc.resolve("stat"));
        // The second field is the program's name and may hold blanks; count from behind it.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        long resident =
                Files.readAllLines(proc.resolve("status")).stream()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                        .findFirst()
                        .orElse(0);
        return new ProcessReading(ticks, resident, System.nanoTime());
    }

    /** Returns how many cores were busy on average since an earlier reading. */
    double coresSince(ProcessReading earlier) {
        double seconds = (double) (atNanos - earlier.atNanos) / TimeUnit.SECONDS.toNanos(1);
        return (cpuTicks - earlier.cpuTicks) / TICKS_PER_SECOND / seconds;
    }

    long residentMegabytes() {
        return residentKilobytes / KILO;
    }
}
