package org.apricotgauge.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
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
                        VersionWindow.of(
                                3,
                                10,
                                Map.of(
                                        "s", new OutcomeCounts(1, 0, 0, 0, 0),
                                        "t", new OutcomeCounts(0, 0, 0, 1, 0))),
                        VersionWindow.of(4, 5, Map.of("s", new OutcomeCounts(0, 0, 1, 0, 1))));
        windows.versionInForce(9);
        windows.versionInForce(10);
        assertThat(windows.read()).extracting(VersionWindow::version).containsExactly(9L, 10L);
    }

    @Test
    void windowsThatHaveEndedAreKeptUpToTheCapacity() {
        OutcomeWindows windows = new OutcomeWindows(new ManualTicker(), 4);
        for (int version = 1; version <= 9; version++) {
            windows.versionInForce(version);
            windows.count("s", OutcomeKind.ANSWERED);
        }

        assertThat(windows.read())
                .extracting(VersionWindow::version)
                .containsExactly(6L, 7L, 8L, 9L);
        assertThat(windows.read())
                .allSatisfy(window -> assertThat(window.total().answered()).isEqualTo(1));
    }
}
