package org.apricotgauge.event;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventRingTest {

    /**
     * Every event is either read or counted as lost, whatever the bounds; a reader that follows by
     * {@code nextSince} sees each at most once and ends at the newest.
     */
    @Property(seed = "1703", tries = 300)
    void everyEventIsReadOrCountedAsLost(
            @ForAll @IntRange(min = 1, max = 9) int capacity,
            @ForAll @IntRange(max = 30) int recorded,
            @ForAll @IntRange(max = 35) int since,
            @ForAll @IntRange(min = 1, max = 10) int limit) {
        EventRing ring = ring(capacity);
        IntStream.range(0, recorded).forEach(i -> ring.record(leaving(i)));

        long lost = 0;
        long read = 0;
        long next = since;
        EventPage page;
        do {
            page = ring.read(next, limit);
            lost += page.lost();
            for (Event event : page.events()) {
                assertThat(event.id().sequence()).isGreaterThan(next);
                next = event.id().sequence();
                read++;
            }
            next = page.nextSince();
        } while (!page.events().isEmpty());

        assertThat(read + lost).isEqualTo(Math.max(0, recorded - since));
        assertThat(read).isEqualTo(Math.min(capacity, Math.max(0, recorded - since)));
        assertThat(next).isEqualTo(Math.max(since, recorded));
    }

    @Test
    void writersOnSeveralThreadsKeepSequenceAndClockInOneOrder() {
        EventRing ring = ring(1_000);
        List<CompletableFuture<Void>> writers =
                IntStream.range(0, 4)
                        .mapToObj(
                                writer ->
                                        CompletableFuture.runAsync(
                                                () -> {
                                                    for (int i = 0; i < 250; i++) {
                                                        ring.record(leaving(i));
                                                    }
                                                }))
                        .toList();
        writers.forEach(CompletableFuture::join);

        List<Event> events = ring.read(0, 1_000).events();
        assertThat(events).hasSize(1_000);
        assertThat(events).extracting(Event::hlc).isSorted();
        assertThat(events).extracting(event -> event.id().sequence()).isSorted();
    }

    @Test
    void badBoundsAreRefused() {
        assertThatThrownBy(() -> ring(0)).hasMessageContaining("capacity must be from 1");
        assertThatThrownBy(() -> ring(1).read(-1, 1)).hasMessageContaining("since must be from 0");
    }

    private static EventRing ring(int capacity) {
        HybridClock clock = new HybridClock(() -> Instant.ofEpochMilli(1_000));
        return new EventRing("vm-1", 5, capacity, clock);
    }

    private static EventBody leaving(int i) {
        return new VmLeaving("vm-" + i, "peer");
    }
}
