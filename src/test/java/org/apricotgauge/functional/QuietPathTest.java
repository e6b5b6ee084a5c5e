package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Paths that were cut while nobody used them, before requests that must not repeat. */
class QuietPathTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private Hops mHops;
    private RawTarget mTarget;

    @BeforeEach
    void start() throws Exception {
        mHops = new Hops(0, "vm-a", "vm-b");
        mTarget =
                RawTarget.start(
                        (head, body, out) -> {
                            out.write(OK.getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        mHops.target("t", "vm-b", mTarget.port(), 3);
        assertThat(book()).endsWith("ok");
        mHops.awaitIdleToGuards(1);
    }

    @AfterEach
    void stop() throws Exception {
        mHops.close();
        mTarget.close();
    }

    @Test
    void aBookingIsNotLostOnAPathThatWentSilentBefore() throws Exception {
        // The caller gets its answer, and the booking runs once. The way back of the kept
        // connection is silent: sent over it, the booking would run, its answer be lost and its
        // caller be told "unknown". The entry's question goes unanswered instead, and the booking
        // goes over a new connection.
        mHops.vm("vm-b").relay().silence(Relay.Way.BACK);

        assertThat(book()).startsWith("HTTP/1.1 200").endsWith("ok");

        assertThat(mTarget.runs()).isEqualTo(2);
        assertThat(mHops.vm("vm-a").count("entry.fences")).isZero();
    }

    private String book() throws Exception {
        try (RawCaller caller = new RawCaller(mHops.vm("vm-a").callerPort())) {
            return caller.request("POST", "/once", "Content-Length: 0").readAll();
        }
    }
}
