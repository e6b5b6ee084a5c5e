package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.routing.LoadSharing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Uploads of several hundred kilobytes that may not repeat, over a hop. */
class LargeBodyTest {
    private static final String BODY = "u".repeat(300_000);

    private final CountDownLatch mGo = new CountDownLatch(1);
    private Hops mHops;
    private RawTarget mFull;
    private RawTarget mFree;

    @BeforeEach
    void start() throws Exception {
        mHops = Hops.sharing(new LoadSharing(false, false, true), "a", "b", "c");
        mFull =
                RawTarget.start(
                        (head, body, out) -> {
                            mGo.await();
                            out.write(answerOf(body));
                            return true;
                        });
        mFree =
                RawTarget.start(
                        (head, body, out) -> {
                            out.write(answerOf(body));
                            return true;
                        });
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mHops.close();
        mFull.close();
        mFree.close();
    }

    private static byte[] answerOf(byte[] body) {
        String length = Integer.toString(body.length);
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + length.length() + "\r\n\r\n" + length)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private String upload(String entry, String body) throws Exception {
        String head =
                "POST /once HTTP/1.1\r\nHost: site\r\nConnection: close\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        try (RawCaller caller = new RawCaller(mHops.vm(entry).callerPort())) {
            return caller.send(head + body).readAll();
        }
    }

    private CompletableFuture<String> uploadAside(String entry, String body) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return upload(entry, body);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    // Guards against a body that is lost at a guard without a free slot.
    @Test
    void uploadThatAFullGuardRefusesIsServedElsewhere() throws Exception {
        mHops.target("full", "b", mFull.port(), 1);
        CompletableFuture<String> first = uploadAside("b", "x");
        LocalFleet.await(() -> mFull.runs() == 1);
        // The entry hears that the free target is full, and so tries the other one first.
        mHops.target("free", "c", mFree.port(), 8).reportFull("a", "free");

        assertThat(upload("a", BODY)).startsWith("HTTP/1.1 200").endsWith("300000");

        assertThat(mHops.vm("b").count("guard.not_run")).isEqualTo(1);
        assertThat(mFull.runs()).isEqualTo(1);
        mGo.countDown();
        assertThat(first.get()).startsWith("HTTP/1.1 200");
    }
}
