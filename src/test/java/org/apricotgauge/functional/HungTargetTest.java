package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A target that takes requests and says nothing, beside one that answers. */
class HungTargetTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final long USEFUL_MILLIS = 400;
    private static final int REQUESTS = 20;

    private final CountDownLatch mEnd = new CountDownLatch(1);

    // Guards against requests that wait for a hung target to their deadline though they may repeat.
    @Test
    void whatMayRepeatIsSentElsewhere() throws Exception {
        try (RawTarget hung = RawTarget.start(this::sayNothing);
                RawTarget well = RawTarget.start(RawTarget.always(OK));
                Hops hops =
                        new Hops("a", "b", "c")
                                .usefulRoute("/quick/", USEFUL_MILLIS)
                                .target("hung", "b", hung.port(), 4)
                                .target("well", "c", well.port(), 4)) {
            for (int i = 0; i < REQUESTS; i++) {
                try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
                    assertThat(caller.request("GET", "/quick/" + i).readAll())
                            .startsWith("HTTP/1.1 200");
                }
            }
            assertThat(hung.runs()).isPositive();
            assertThat(hops.vm("b").count("guard.hung")).isPositive();
            mEnd.countDown();
        }
    }

    private boolean sayNothing(String head, byte[] body, OutputStream out)
            throws InterruptedException {
        mEnd.await();
        return false;
    }
}
