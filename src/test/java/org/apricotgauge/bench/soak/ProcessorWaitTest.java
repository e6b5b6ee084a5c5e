package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the time that a process waited for a processor, and the check of its end by it. */
class ProcessorWaitTest {
    private static final String DRAIN = "node-drain";

    @TempDir Path mProcess;

    @Test
    void countsWaitsOfItsThreadsSinceTheStart() throws IOException {
        write("100", "500 2000000 9");
        ProcessorWait wait = ProcessorWait.startAt(mProcess, Set.of(DRAIN));

        write("100", "900 5000000 12");
        write("101", "100 4000000 3");
        wait.sample();

        assertThat(wait.millis()).isEqualTo(7);
    }

    // Guards against a stop that is late by itself on a machine where other threads wait.
    @Test
    void otherThreadsDoNotCount() throws IOException {
        ProcessorWait wait = ProcessorWait.startAt(mProcess, Set.of(DRAIN));
        write("100", "500 9000000 9");
        Files.writeString(mProcess.resolve("task/100/comm"), "caller-17\n");
        wait.sample();

        assertThat(wait.millis()).isZero();
    }

    // Guards against the waits of a thread that got no processor to take its name in.
    @Test
    void aThreadThatIsNamedLaterCounts() throws IOException {
        ProcessorWait wait = ProcessorWait.startAt(mProcess, Set.of(DRAIN));
        write("100", "0 3000000 1");
        Files.writeString(mProcess.resolve("task/100/comm"), "main\n");
        wait.sample();
        write("100", "500 9000000 2");
        for (int i = 0; i < 10; i++) {
            wait.sample();
        }

        assertThat(wait.millis()).isEqualTo(9);
    }

    // Guards against a thread that ends and takes its waits along.
    @Test
    void threadThatHasEndedStillCounts() throws IOException {
        write("100", "500 2000000 9");
        write("101", "500 0 1");
        ProcessorWait wait = ProcessorWait.startAt(mProcess, Set.of(DRAIN));
        write("101", "600 8000000 2");
        wait.sample();

        Files.delete(mProcess.resolve("task/101/schedstat"));
        wait.sample();

        assertThat(wait.millis()).isEqualTo(8);
    }

    @Test
    void processThatHasEndedHasWaitedNothing() {
        assertThat(ProcessorWait.startAt(mProcess.resolve("gone"), Set.of(DRAIN)).millis())
                .isZero();
    }

    // Guards against a process that goes on after the platform's time for a stop.
    @Test
    void endIsLateOnceTheStopTimeIsUsedUpWithoutWaits() {
        assertThat(SoakNode.isLate(SoakFleet.STOP_MILLIS, 0)).isFalse();
        assertThat(SoakNode.isLate(SoakFleet.STOP_MILLIS + 1, 0)).isTrue();
        assertThat(SoakNode.isLate(SoakFleet.STOP_MILLIS + 700, 700)).isFalse();
        assertThat(SoakNode.isLate(SoakFleet.STOP_MILLIS + 1_000, 300)).isTrue();
    }

    private void write(String thread, String figures) throws IOException {
        Path directory = Files.createDirectories(mProcess.resolve("task").resolve(thread));
        Files.writeString(directory.resolve("comm"), DRAIN + "\n");
        Files.writeString(directory.resolve("schedstat"), figures + "\n");
    }
}
