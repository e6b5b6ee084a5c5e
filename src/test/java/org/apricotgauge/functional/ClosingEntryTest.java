package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.node.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers that use their connections until the entry's port is closed. */
class ClosingEntryTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final CountDownLatch mGo = new CountDownLatch(1);
    private LocalFleet mFleet;
    private Node mEntry;
    private RawTarget mTarget;

    @BeforeEach
    void start() throws IOException {
        mTarget =
                RawTarget.start(
                        (head, body, out) -> {
                            if (head.contains("/wait")) {
                                mGo.await();
                            }
                            out.write(OK.getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        mFleet = new LocalFleet();
        mEntry = mFleet.startNode("vm-a");
        mFleet.startNode("vm-b");
        mFleet.putTarget("b", "vm-b", mTarget.port(), 3);
        mFleet.settle();
    }

    @AfterEach
    void stop() throws IOException {
        mGo.countDown();
        mFleet.close();
        mTarget.close();
    }

    // Guards against a request on a kept connection, or a new one, that meets the end of the port
    // and ends without an answer some time later.
    @Test
    void keptConnectionsEndFirstAndWhatComesAfterThatIsAnswered() throws Exception {
        try (RawCaller kept = new RawCaller(mEntry.callerPort());
                RawCaller fresh = new RawCaller(mEntry.callerPort())) {
            kept.send("GET / HTTP/1.1\r\nHost: site\r\n\r\n");
            assertThat(kept.readHead()).startsWith("HTTP/1.1 200");
            assertThat(kept.read(2)).isEqualTo("ok");
            int runs = mTarget.runs();
            int port = mEntry.callerPort();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> drain(mEntry));

            assertThat(kept.readAll()).isEmpty();
            String answer = fresh.request("GET", "/").readAll();
            assertThat(answer)
                    .startsWith("HTTP/1.1 503 ")
                    .contains("Connection: close")
                    .endsWith("not-run: leaving\n");
            try (RawCaller another = new RawCaller(port)) {
                assertThat(another.request("POST", "/once").readAll()).startsWith("HTTP/1.1 503 ");
            }

            drained.join();
            assertThat(mTarget.runs()).isEqualTo(runs);
        }
    }

    private static void drain(Node node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
