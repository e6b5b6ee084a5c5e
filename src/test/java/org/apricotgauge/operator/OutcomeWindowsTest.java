package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class OutcomeWindowsTest {

    @Test
    void outcomesCountInTheWindowOfTheVersionInForce() {
        ManualTicker ticker = new ManualTicker();
        OutcomeWindows windows = new OutcomeWindows(ticker, 2);
        windows.count("s", OutcomeKind.FAILED);
        windows.versionInForce(3);
        windows.count("s", OutcomeKind.ANSWERED);
        windows.count("t", OutcomeKind.UNKNOWN);
        ticker.advanceMillis(10);
        windows.versionInForce(4);
        windows.versionInForce(3);
        windows.count("s", OutcomeKind.NOT_RUN);
        windows.count("s", OutcomeKind.EJECTED);
        ticker.advanceMillis(5);

        assertThat(windows.read())
                .containsExactly(
                        new VersionWindow(
                                3,
                                10,
                                Map.of(
                                        "s", new OutcomeCounts(1, 0, 0, 0, 0),
                                        "t", new OutcomeCounts(0, 0, 0, 1, 0))),
                        new VersionWindow(4, 5, Map.of("s", new OutcomeCounts(0, 0, 1, 0, 1))));
        assertThat(windows.read().get(0).total(Optional.empty()).requests()).isEqualTo(2);
    }
}
