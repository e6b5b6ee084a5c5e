package org.apricotgauge.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StartLimitTest {

    @Test
    void ofSeveralTheLowestHolds() {
        assertThat(StartLimit.parse(List.of("2.7"))).isEqualTo(new StartLimit(2.7));
        assertThat(StartLimit.parse(List.of("2.7", " 1 ", "3"))).isEqualTo(new StartLimit(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "many", "-1", "NaN", "Infinity", "1e3", "0x1p3", "1.2.3", "2d"})
    void whatIsNoDecimalNumberIsRefused(String text) {
        assertThatThrownBy(() -> StartLimit.parse(List.of(text)))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(StartLimit.parseOrNone(text)).isEmpty();
    }

    @Test
    void aTargetThatTakesNothingIsStillAskedNowAndThen() {
        assertThat(new StartLimit(0).keptPerSecond()).isPositive().isLessThan(1);
        assertThat(new StartLimit(3).keptPerSecond()).isEqualTo(3);
    }

    @Test
    void itsTextReadsAsTheSame() {
        for (double perSecond : new double[] {0, 0.001, 2.7, 1e9}) {
            StartLimit limit = new StartLimit(perSecond);
            assertThat(StartLimit.parseOrNone(limit.toText())).contains(limit);
        }
    }
}
