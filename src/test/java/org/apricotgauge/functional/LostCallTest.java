package org.apricotgauge.functional;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Targets that fail their requests since the calls that they make to others fail. */
class LostCallTest {
    private static final String REFUSED = "guard.not_run";
    private static final RawTarget.Script FAILING =
            (head, body, out) -> {
                out.write(
                        "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                return true;
            };

    @Test
    void aTargetWhoseCallsFailIsNotTakenForSick() throws Exception {
        // Bookings fail with the target's own 500 because the lookup that each of them needs has
        // failed elsewhere. The target is well: taken for sick, it would get no bookings for
        // seconds, and with it every other target whose lookups fail.
        try (RawTarget target = RawTarget.start(FAILING);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3).loseCalls()) {
            for (int i = 0; i < 3; i++) {
                assertThat(book(hops)).startsWith("HTTP/1.1 500").doesNotContain("Call-Lost");
            }

            assertThat(target.runs()).isEqualTo(3);
            assertThat(hops.vm("b").count(REFUSED)).isZero();
        }
    }

    @Test
    void aTargetThatFailsOfItselfIsTakenForSickAtOnce() throws Exception {
        // The same without calls: the guard turns the second booking away, which then takes the
        // risk, since there is no other target.
        try (RawTarget target = RawTarget.start(FAILING);
                Hops hops = new Hops("a", "b").target("t", "b", target.port(), 3)) {
            assertThat(book(hops)).startsWith("HTTP/1.1 500");
            assertThat(hops.vm("b").count(REFUSED)).isZero();

            assertThat(book(hops)).startsWith("HTTP/1.1 500");

            assertThat(hops.vm("b").count(REFUSED)).isEqualTo(1);
        }
    }

    private static String book(Hops hops) throws IOException {
        try (RawCaller caller = new RawCaller(hops.vm("a").callerPort())) {
            return caller.request("POST", "/once", "Content-Length: 0").readAll();
        }
    }
}
