package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The soak's own lag must not pass for the nodes'. */
class SoakLagTest {
    // Guards against a loss whose reader can't tell that the caller looked late.
    @Test
    void theGreatestLagNearAFaultIsTold() {
        AtomicLong millis = new AtomicLong();
        SoakLag lag = new SoakLag(millis::get);
        lag.look();
        millis.set(10);
        lag.look();
        millis.set(320);
        lag.look();
        millis.set(400);
        lag.look();
        assertThat(lag.max(0, 1_000)).isEqualTo(300);
        assertThat(lag.max(350, 1_000)).isEqualTo(70);
        assertThat(lag.max(500, 1_000)).isZero();
    }
}
