package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A seed has to draw the same work and the same stops in each release. */
class WorkKindTest {
    private static final List<String> SERVICES = List.of("desk", "cart");

    private static List<PlannedRequest> draw(WorkKind work) {
        SplittableRandom random = new SplittableRandom(48);
        return IntStream.range(0, 1_000).mapToObj(i -> work.draw(SERVICES, random)).toList();
    }

    private static long checksum(String text) {
        CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }

    // Guards against a seed on record that no longer draws the requests that it drew then.
    @Test
    void mixedWorkIsDrawnAsBefore() {
        StringBuilder text = new StringBuilder();
        for (PlannedRequest request : draw(WorkKind.MIXED)) {
            text.append(
                    "%s %s %s %d %d %d %s %d%n"
                            .formatted(
                                    request.id(),
                                    request.service(),
                                    request.isIdempotent(),
                                    request.runMillis(),
                                    request.pauseMillis(),
                                    request.answerBytes(),
                                    request.framing(),
                                    request.bodyBytes()));
        }
        assertThat(checksum(text.toString())).isEqualTo(434_097_117L);
    }

    // Guards against a seed on record that no longer draws the stops that it drew then.
    @ParameterizedTest
    @CsvSource({
        "STAGGERED, 1605694883",
        "AT_ONCE, 35103198",
        "DOMAIN_AFTER_DOMAIN, 1333772322",
        "ROW, 2624735537",
        "STOPPED_AGAIN, 199648858",
        "SIGNALLED_TWICE, 1260503899",
        "RELOADED, 3080719375",
        "PAUSED, 1261327028",
        "KILLED, 2913324220",
        "VARIED, 2600131346"
    })
    void seriesAreDrawnAsBefore(Series series, long expected) {
        StringBuilder text = new StringBuilder();
        for (PlannedSignal signal : series.plan(9, 3, 60_000, new SplittableRandom(48))) {
            text.append(
                    "%d %d %s %d %d%n"
                            .formatted(
                                    signal.atMillis(),
                                    signal.node(),
                                    signal.kind(),
                                    signal.restartMillis(),
                                    signal.stopAgainMillis()));
        }
        assertThat(checksum(text.toString())).isEqualTo(expected);
        assertThat(WorkKind.MIXED.series()).hasSize(10).contains(series);
    }

    // Guards against a soak that can't find what callers of short routes see: runs that are long
    // against the timeout, and a few beyond it.
    @Test
    void shortDeadlinesAreReachedByAFewRuns() {
        List<PlannedRequest> requests = draw(WorkKind.SHORT_DEADLINE);
        int[] runs = requests.stream().mapToInt(PlannedRequest::runMillis).sorted().toArray();
        assertThat(runs[0]).isGreaterThanOrEqualTo(20);
        assertThat(runs[runs.length / 2]).isBetween(500, 700);
        assertThat(runs[runs.length - 1]).isBetween(3_000, 3_600);
        assertThat(requests).allMatch(request -> request.timeoutMillis() == 3_000);
        assertThat(requests.stream().filter(request -> request.runMillis() > 3_000).count())
                .isBetween(5L, 50L);
        assertThat(requests)
                .allMatch(
                        request ->
                                request.answerBytes() >= 2_000 && request.answerBytes() <= 30_000);
    }

    // Guards against a kind of answer that the soak never plays.
    @Test
    void shortDeadlinesHaveAllFramings() {
        Set<Framing> framings = EnumSet.noneOf(Framing.class);
        draw(WorkKind.SHORT_DEADLINE).forEach(request -> framings.add(request.framing()));
        assertThat(framings).containsExactlyInAnyOrder(Framing.values());
    }

    // Guards against a target that runs a request in another way than its caller planned.
    @Test
    void aRequestIsReadBackFromItsPath() {
        for (PlannedRequest request : draw(WorkKind.SHORT_DEADLINE)) {
            assertThat(PlannedRequest.ofPath(request.path())).isEqualTo(request);
        }
    }
}
