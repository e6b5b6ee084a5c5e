package org.apricotgauge.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.management.OperatingSystemMXBean;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.SnapshotAssembler;
import org.apricotgauge.config.SnapshotChunk;
import org.apricotgauge.config.SnapshotCodec;

/**
 * Measures how long a fresh process takes to reach the current version at full size, by replay of
 * the whole list and by a snapshot.
 *
 * <pre>{@code
 * MeasureStart write DIRECTORY DAYS
 * MeasureStart replay DIRECTORY
 * MeasureStart snapshot DIRECTORY
 * }</pre>
 *
 * <p>Files take the place of the network. The two ways each run in a process of their own, since a
 * node that starts has no compiled code yet.
 */
public final class MeasureStart {
    private static final int CHANGES_PER_DAY = 8_400;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;
    private static final int GC_ROUNDS = 3;

    private MeasureStart() {}

    /** Runs the part that the first argument names. */
    public static void main(String[] args) throws IOException {
        Path list = Path.of(args[1], "list");
        Path snapshot = Path.of(args[1], "snapshot");
        switch (args[0]) {
            case "write" -> write(list, snapshot, Integer.parseInt(args[2]));
            case "replay" -> measure("replay", list, MeasureStart::replay);
            case "snapshot" -> measure("snapshot", snapshot, MeasureStart::restore);
            default -> throw new IllegalArgumentException("write, replay or snapshot: " + args[0]);
        }
    }

    private static void write(Path list, Path snapshot, int days) throws IOException {
        Files.createDirectories(list.getParent());
        SyntheticPatches patches = new SyntheticPatches(SyntheticSize.FULL);
        long entries = patches.fillCount() + (long) days * CHANGES_PER_DAY;
        ConfigHistory history = ConfigHistory.EMPTY;
        try (DataOutputStream out = output(list)) {
            for (long position = 1; position <= entries; position++) {
                LogEntry entry = patches.entryAt(position);
                write(out, entry.body());
                history = history.apply(entry).history();
            }
        }
        long start = System.nanoTime();
        int chunks = 0;
        int largest = 0;
        try (DataOutputStream out = output(snapshot)) {
            for (SnapshotChunk chunk : SnapshotCodec.encode(history)) {
                largest = Math.max(largest, write(out, SnapshotCodec.toJson(chunk)));
                chunks++;
            }
        }
        System.out.printf(
                "%d days: %,d entries; snapshot of %d chunks, largest %,d B, cut in %.0f ms%n",
                days, entries, chunks, largest, (System.nanoTime() - start) / NANOS_PER_MILLI);
    }

    private static ConfigHistory replay(DataInputStream in) throws IOException {
        ConfigHistory history = ConfigHistory.EMPTY;
        while (in.available() > 0) {
            history = history.apply(new LogEntry(history.position() + 1, read(in))).history();
        }
        return history;
    }

    private static ConfigHistory restore(DataInputStream in) throws IOException {
        SnapshotAssembler assembler = new SnapshotAssembler();
        while (true) {
            SnapshotAssembler.Result result = assembler.add(SnapshotCodec.fromJson(read(in)));
            if (result instanceof SnapshotAssembler.Restored restored) {
                return restored.history();
            }
            if (result instanceof SnapshotAssembler.Rejected rejected) {
                throw new IllegalStateException(rejected.detail());
            }
        }
    }

    private static void measure(String name, Path file, Start start) throws IOException {
        long wallNanos = System.nanoTime();
        long cpuNanos = cpuNanos();
        ConfigHistory history;
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            history = start.run(in);
        }
        wallNanos = System.nanoTime() - wallNanos;
        cpuNanos = cpuNanos() - cpuNanos;
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        System.out.printf(
                "  %-8s %8.0f ms, %8.0f ms of processor, %6.1f MB read, heap %5.1f MB of %.0f MB,"
                        + " version %,d, digest %.8s%n",
                name,
                wallNanos / NANOS_PER_MILLI,
                cpuNanos / NANOS_PER_MILLI,
                Files.size(file) / BYTES_PER_MB,
                (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB,
                runtime.maxMemory() / BYTES_PER_MB,
                history.version(),
                history.digest());
    }

    private static DataOutputStream output(Path file) throws IOException {
        return new DataOutputStream(new BufferedOutputStream(Files.newOutputStream(file)));
    }

    private static int write(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
        return bytes.length;
    }

    private static String read(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return new String(bytes, UTF_8);
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    /** One way to reach the current version. */
    @FunctionalInterface
    private interface Start {
        ConfigHistory run(DataInputStream in) throws IOException;
    }
}
