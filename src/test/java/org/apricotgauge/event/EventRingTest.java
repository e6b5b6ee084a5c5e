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
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventRingTest {

    /**
     * Every event is either read or counted as lost, whatever the bounds; a reader that follows by
     * {@code nextSince} sees each at most once and ends at the newest.
     */
    @Property(seed = "1703", tries = 300)
    void everyEventIsReadOrCountedAsLost(
            @ForAll @IntRange(min = 2, max = 9) int capacity,
            @ForAll @Size(max = 30) List<Boolean> isFrequent,
            @ForAll @IntRange(max = 35) int since,
            @ForAll @IntRange(min = 1, max = 10) int limit) {
        EventRing ring = ring(capacity);
        isFrequent.forEach(frequent -> ring.record(frequent ? fence() : leaving(1)));
        int recorded = isFrequent.size();

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
        assertThat(read).isEqualTo(heldAfter(since, capacity, isFrequent));
        assertThat(next).isEqualTo(Math.max(since, recorded));
    }

    /**
     * A partition brings a fence for each request under way. In one common row they would push out
     * the ejection, and the operator would see what callers lost but not why.
     */
    @Test
    void manyFencesDoNotPushOutAnEjection() {
        EventRing ring = ring(16);
        ring.record(new TargetEjected("s", "t", "6 of 9 failed"));
        IntStream.range(0, 1_000).forEach(i -> ring.record(fence()));

        EventPage page = ring.read(0, 16);

        assertThat(page.events().get(0).body()).isInstanceOf(TargetEjected.class);
        assertThat(page.events()).hasSize(5);
        assertThat(page.lost()).isEqualTo(996);
    }

    @Test
    void writersOnSeveralThreadsKeepSequenceAndClockInOneOrder() {
        EventRing ring = ring(2_000);
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
        assertThatThrownBy(() -> ring(1)).hasMessageContaining("capacity must be from 2");
        assertThatThrownBy(() -> ring(2).read(-1, 1)).hasMessageContaining("since must be from 0");
    }

    /** Counts from the newest back: a quarter of the room is for frequent events, the rest not. */
    private static int heldAfter(int since, int capacity, List<Boolean> isFrequent) {
        int frequentLeft = Math.max(1, capacity / 4);
        int rareLeft = capacity - frequentLeft;
        int held = 0;
        for (int sequence = isFrequent.size(); sequence > since; sequence--) {
            boolean frequent = isFrequent.get(sequence - 1);
            held += (frequent ? frequentLeft-- : rareLeft--) > 0 ? 1 : 0;
        }
        return held;
    }

    private static EventRing ring(int capacity) {
        HybridClock clock = new HybridClock(() -> Instant.ofEpochMilli(1_000));
        return new EventRing("vm-1", 5, capacity, clock);
    }

    private static EventBody fence() {
        return new FenceUsed("s", "t", "r", FenceResult.NOT_RUN);
    }

    private static EventBody leaving(int i) {
        return new VmLeaving("vm-" + i, "peer");
    }
}
