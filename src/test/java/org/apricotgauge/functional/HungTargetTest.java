package org.apricotgauge.functional;

import static org.apricotgauge.functional.Hops.IN_PROCESS;
import static org.apricotgauge.functional.Hops.OVER_HOP;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.LocalFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A target that takes requests and says nothing, beside one that answers. */
class HungTargetTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final long USEFUL_MILLIS = 400;
    private static final long LATE_MILLIS = 1_200;
    private static final int REQUESTS = 20;

    private final CountDownLatch mEnd = new CountDownLatch(1);

    // Guards against requests that wait for a hung target to their deadline though they may repeat.
    @ParameterizedTest
    @ValueSource(strings = {OVER_HOP, IN_PROCESS})
    void whatMayRepeatIsSentElsewhere(String entry) throws Exception {
        try (RawTarget hung = RawTarget.start(this::sayNothing);
                RawTarget well = RawTarget.start(RawTarget.always(OK));
                Hops hops =
                        new Hops("a", "b", "c")
                                .handOver()
                                .usefulRoute("/quick/", USEFUL_MILLIS)
                                .target("hung", "b", hung.port(), 4)
                                .target("well", "c", well.port(), 4)) {
            for (int i = 0; i < REQUESTS; i++) {
                try (RawCaller caller = new RawCaller(hops.vm(entry).callerPort())) {
                    assertThat(caller.request("GET", "/quick/" + i).readAll())
                            .startsWith("HTTP/1.1 200");
                }
            }
            assertThat(hung.runs()).isPositive();
            assertThat(hops.vm("b").count("guard.hung")).isPositive();
            mEnd.countDown();
        }
    }

    // Guards against a run that is broken off as hung while no other target has room: the caller
    // got a 504 seconds before its deadline though a target was working on its request.
    @Test
    void runContinuesWhileNoOtherTargetHasRoom() throws Exception {
        try (RawTarget slow = RawTarget.start(this::answerLate);
                RawTarget full = RawTarget.start(this::sayNothing);
                Hops hops =
                        new Hops("a", "b", "c")
                                .usefulRoute("/quick/", USEFUL_MILLIS)
                                .target("slow", "b", slow.port(), 4)) {
            hops.target("full", "c", full.port(), 1)
                    .reportFull("c", "slow")
                    .reportFull("a", "full")
                    .reportFull("b", "full");
            try (RawCaller holder = new RawCaller(hops.vm("c").callerPort());
                    RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
                holder.request("GET", "/quick/holder");
                LocalFleet.await(() -> full.runs() == 1);
                assertThat(caller.request("GET", "/quick/late").readAll())
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(hops.vm("b").count("guard.hung")).isZero();
            mEnd.countDown();
        }
    }

    private boolean answerLate(String head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        if (head.contains("late")) {
            mEnd.await(LATE_MILLIS, TimeUnit.MILLISECONDS);
        }
        out.write(OK.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private boolean sayNothing(String head, byte[] body, OutputStream out)
            throws InterruptedException {
        mEnd.await();
        return false;
    }
}
