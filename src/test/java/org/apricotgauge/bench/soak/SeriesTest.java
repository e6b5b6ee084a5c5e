package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.apricotgauge.bench.soak.Signal.Kind;
import org.junit.jupiter.api.Test;

/** The series have to overlap as their names say. */
class SeriesTest {
    private static final int NODES = 9;
    private static final int DOMAINS = 3;

    private static List<PlannedSignal> firstRound(Series series) {
        return series.plan(NODES, DOMAINS, 3_001, new SplittableRandom(1));
    }

    private static Set<Integer> domains(List<PlannedSignal> signals) {
        return signals.stream().map(signal -> signal.node() % DOMAINS).collect(Collectors.toSet());
    }

    // Guards against nodes of a domain that are never stopped while they all start.
    @Test
    void aDomainIsStoppedAtOnceAndAgainAsItStarts() {
        for (Series series : List.of(Series.AT_ONCE_AGAIN, Series.TOGETHER_AGAIN)) {
            List<PlannedSignal> signals = firstRound(series);
            assertThat(signals).hasSize(NODES / DOMAINS);
            assertThat(domains(signals)).hasSize(1);
            assertThat(signals).extracting(PlannedSignal::atMillis).containsOnly(3_000L);
            assertThat(new HashSet<>(signals.stream().map(PlannedSignal::stopAgainMillis).toList()))
                    .hasSize(1)
                    .allMatch(again -> again >= 100);
        }
        assertThat(firstRound(Series.TOGETHER_AGAIN))
                .allMatch(signal -> signal.downMillis() > SoakFleet.STOP_MILLIS);
    }

    // Guards against domains whose stops follow each other, and never overlap.
    @Test
    void twoDomainsStopAtTheSameTime() {
        List<PlannedSignal> signals = firstRound(Series.TWO_DOMAINS);
        assertThat(domains(signals)).hasSize(2);
        assertThat(signals).hasSize(2 * NODES / DOMAINS);
        assertThat(signals).allMatch(signal -> signal.atMillis() < 3_000 + SoakFleet.STOP_MILLIS);
    }

    // Guards against changes in the store that are played only while no node stops.
    @Test
    void changesInTheStoreOverlapTheStops() {
        List<PlannedSignal> signals = firstRound(Series.CHANGED);
        assertThat(signals)
                .extracting(PlannedSignal::kind)
                .contains(
                        Kind.STOP,
                        Kind.RELOAD,
                        Kind.CONFIGURED,
                        Kind.TARGET_LEAVING,
                        Kind.TARGET_READY);
        assertThat(signals).allMatch(signal -> signal.atMillis() <= 3_000 + 6_000);
        long leaving = signals.stream().filter(s -> s.kind() == Kind.TARGET_LEAVING).count();
        long ready = signals.stream().filter(s -> s.kind() == Kind.TARGET_READY).count();
        assertThat(ready).isEqualTo(leaving);
    }

    // Guards against bursts that never begin, or never end.
    @Test
    void burstsComeAndGo() {
        Bursts bursts = Bursts.plan(30_000, new SplittableRandom(1));
        assertThat(bursts.bursts()).hasSizeGreaterThan(2);
        Bursts.Burst first = bursts.bursts().get(0);
        assertThat(bursts.isOn(first.startMillis())).isTrue();
        assertThat(bursts.isOn(first.startMillis() - 1)).isFalse();
        assertThat(bursts.isOn(first.endMillis())).isFalse();
    }
}
