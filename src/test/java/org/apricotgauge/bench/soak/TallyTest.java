package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.bench.soak.Signal.Kind;
import org.junit.jupiter.api.Test;

/** Counts of many seeds have to add up. */
class TallyTest {
    private static SoakResult result(List<Signal> signals) {
        Exchange cut =
                new Exchange(
                        new PlannedRequest(
                                "a1", "desk", true, 3_000, 600, 0, 200, Framing.LENGTH, 0),
                        0,
                        false,
                        10_000,
                        10_000,
                        12_000,
                        null,
                        10,
                        false,
                        false,
                        "cut");
        Judge judge = new Judge(new Signals(signals), List.of(), SoakFleet.STOP_MILLIS);
        return new SoakResult(
                List.of(judge.judge(cut)),
                new Signals(signals),
                0,
                0,
                new SoakLag(() -> 0),
                new NodeLogs(List.of()));
    }

    // Guards against a loss or a late kill of one seed that the total of all does not tell.
    @Test
    void theTotalTellsWhatEachSeedTells() {
        Tally first = result(List.of(new Signal(0, Kind.STOP, 9_000))).tally();
        Tally second =
                result(
                                List.of(
                                        new Signal(1, Kind.STOP, 1_000),
                                        new Signal(1, Kind.KILL_LATE, 7_000)))
                        .tally();
        Tally total = Tally.EMPTY.plus(first).plus(second);
        assertThat(total.counts())
                .containsEntry("requests", 2L)
                .containsEntry("lost_stopping", 1L)
                .containsEntry("lost_unsignalled", 1L)
                .containsEntry("killed_late", 1L)
                .containsEntry("ended_late", 0L)
                .containsEntry("not_sound", 2L);
        assertThat(total.line()).startsWith("requests=2 served=0 ");
    }

    // Guards against a fault whose line does not tell which kind of answer was cut.
    @Test
    void aFaultsLineTellsHowItWasToRun() {
        assertThat(result(List.of()).faultLines())
                .startsWith("LOST_UNSIGNALLED a1 idempotent (body 0, run 600 of 3000 ms, pause 0,")
                .contains("answer 200 LENGTH) entry 0 at 10.000, end +2.000, status 0")
                .endsWith("; the soak itself late by 0 ms\n");
    }
}
