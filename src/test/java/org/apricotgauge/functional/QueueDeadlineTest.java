package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptId;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.node.Node;
import org.apricotgauge.target.GuardHandler;
import org.junit.jupiter.api.Test;

/** Deadlines of attempts that wait for a slot at the guard of a whole node. */
class QueueDeadlineTest {
    private static final long WAIT_MILLIS = 400;

    @Test
    void anAttemptThatWaitsPastItsTimeIsGivenUpByTheGuard() throws Exception {
        // The entry is told "not run" while the slot is still taken; without that its caller would
        // be
        // told "unknown" at the deadline, and the queue would fill with requests nobody waits for.
        // The only slot is held by a request that does not end; the attempt behind it runs out of
        // time.
        CountDownLatch go = new CountDownLatch(1);
        try (LocalFleet fleet = new LocalFleet();
                RawTarget target = RawTarget.start(holding(go))) {
            Node entry = fleet.startNode("vm-a");
            Node guard = fleet.startNode("vm-b");
            fleet.putTarget("b", "vm-b", target.port(), 1);
            fleet.settle();
            CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> ask(entry));
            LocalFleet.await(() -> target.runs() == 1);

            String answer = waitAt(guard);

            assertThat(answer).contains("Apricotgauge-Reason: deadline-passed");
            go.countDown();
            assertThat(first.get()).startsWith("HTTP/1.1 200");
            assertThat(target.runs()).isEqualTo(1);
        }
    }

    private static RawTarget.Script holding(CountDownLatch go) {
        return (head, body, out) -> {
            go.await();
            out.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return true;
        };
    }

    private static String ask(Node node) {
        try (RawCaller caller = new RawCaller(node.callerPort())) {
            return caller.request("POST", "/once", "Content-Length: 0").readAll();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends an attempt to the guard as an entry would, and reads until the guard's last word. */
    private static String waitAt(Node guard) throws IOException {
        GuardStamp stamp = stampOf(guard);
        Attempt attempt =
                new Attempt(
                        new AttemptId("raw", 1, 1),
                        stamp.incarnation(),
                        stamp.guardMillis() + WAIT_MILLIS);
        try (RawCaller entry = new RawCaller(guard.guardPort())) {
            return entry.request(
                            "POST",
                            "/once",
                            "Content-Length: 0",
                            Attempt.HEADER + ": " + attempt,
                            HeaderNames.TARGET + ": b")
                    .readAll();
        }
    }

    private static GuardStamp stampOf(Node guard) throws IOException {
        try (RawCaller entry = new RawCaller(guard.guardPort())) {
            String question = HeaderNames.CONTROL + ": " + GuardHandler.CONTROL_STAMP;
            return entry.request("GET", "/", question)
                    .readAll()
                    .lines()
                    .filter(line -> line.startsWith(GuardStamp.HEADER + ": "))
                    .map(line -> line.substring(GuardStamp.HEADER.length() + 2))
                    .flatMap(text -> GuardStamp.parse(text).stream())
                    .findFirst()
                    .orElseThrow();
        }
    }
}
