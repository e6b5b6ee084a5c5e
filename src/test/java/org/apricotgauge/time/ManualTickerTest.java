package org.apricotgauge.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ManualTickerTest {

    @Property(seed = "1", tries = 100)
    void advancesByGivenMillis(@ForAll @LongRange(min = 0, max = 1_000_000) long millis) {
        ManualTicker ticker = new ManualTicker();
        ticker.advanceMillis(millis);
        assertThat(ticker.millis()).isEqualTo(millis);
    }

    @Test
    void rejectsNegativeAdvance() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> new ManualTicker().advanceMillis(-1))
                .withMessageContaining("-1");
    }
}
