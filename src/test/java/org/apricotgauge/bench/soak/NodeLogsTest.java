package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A fault's lines have to tell which of the causes it has. */
class NodeLogsTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int ENTRY = 1;
    private static final Exchange EXCHANGE =
            new Exchange(
                    new PlannedRequest("a1", "desk", true, 3_000, 600, 0, 200, Framing.LENGTH, 0),
                    ENTRY,
                    false,
                    10_000,
                    10_000,
                    12_000,
                    null,
                    0,
                    false,
                    false,
                    "cut");

    @TempDir Path mLogs;

    private static String line(int millis, String rest) {
        return "{\"time\":\"" + START.plusMillis(millis) + "\",\"level\":\"INFO\"," + rest + "}";
    }

    private NodeLogs read(List<String> guard, List<String> entry) throws IOException {
        return NodeLogs.read(
                List.of(
                        Files.write(mLogs.resolve("node-0.log"), guard),
                        Files.write(mLogs.resolve("node-1.log"), entry),
                        mLogs.resolve("absent.log")),
                START);
    }

    // Guards against faults for which each node's log has to be searched by hand.
    @Test
    void linesOfTheRequestAreFoundInTheirOrder() throws IOException {
        NodeLogs logs =
                read(
                        List.of(
                                line(10_100, "\"message\":\"run started\",\"id\":\"a1\""),
                                line(10_200, "\"message\":\"run started\",\"id\":\"b2\""),
                                line(11_500, "\"message\":\"run ended\",\"id\":\"a1\"")),
                        List.of(line(11_000, "\"message\":\"request ended\",\"id\":\"a1\"")));
        assertThat(logs.of(EXCHANGE))
                .containsExactly(
                        "  node 0 +0.100 \"message\":\"run started\",\"id\":\"a1\"}",
                        "  entry 1 +1.000 \"message\":\"request ended\",\"id\":\"a1\"}",
                        "  node 0 +1.500 \"message\":\"run ended\",\"id\":\"a1\"}");
    }

    // Guards against a process that was killed, or closed its port, and is told from no other.
    @Test
    void theEntrysStopIsTold() throws IOException {
        String stop = "\"message\":\"stop ends\"";
        NodeLogs logs =
                read(List.of(line(10_500, stop)), List.of(line(12_500, stop), line(30_000, stop)));
        assertThat(logs.of(EXCHANGE)).containsExactly("  entry 1 +2.500 " + stop + '}');
    }

    // Guards against lines of an earlier soak with the same seed in the same directory.
    @Test
    void linesFromBeforeTheSoakAreLeftOut() throws IOException {
        NodeLogs logs = read(List.of("no line of a log", line(-5_000, "\"id\":\"a1\"")), List.of());
        assertThat(logs.of(EXCHANGE)).isEmpty();
    }
}
