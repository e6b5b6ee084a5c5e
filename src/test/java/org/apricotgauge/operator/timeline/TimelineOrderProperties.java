package org.apricotgauge.operator.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apricotgauge.event.Event;

/**
 * The merged time line under skewed and jumping clocks.
 *
 * <p>An operator looks for why a target was ejected. If the guard's clock is behind, the ejection
 * sorts before the failures that led to it, and the wrong patch is blamed. So no event may stand
 * before one that its node had heard of when it happened.
 */
class TimelineOrderProperties {
    private static final TimelineFilter ALL =
            new TimelineFilter(Optional.empty(), Optional.empty(), Optional.empty(), List.of());
    private static final long NO_BOUND_MILLIS = Long.MAX_VALUE / 4;

    @Property(seed = "1711", tries = 300)
    void mergedOrderIsCausalHoweverTheEventsWereFetched(
            @ForAll("steps") List<SkewedFleet.Step> steps, @ForAll Random random) {
        SkewedFleet fleet = new SkewedFleet(NO_BOUND_MILLIS, false);
        steps.forEach(fleet::run);
        List<Event> shuffled = new ArrayList<>(fleet.events());
        Collections.shuffle(shuffled, random);

        List<Event> ordered = TimelineMerge.order(shuffled);

        assertThat(fleet.firstFault(ordered)).isEmpty();
        assertThat(ordered).isEqualTo(TimelineMerge.order(fleet.events()));
        assertThat(ordered).containsExactlyInAnyOrderElementsOf(fleet.events());
    }

    /**
     * A node's clock is beyond the bound on drift, so that the others leave its readings out; the
     * causes that events name hold the order all the same.
     */
    @Property(seed = "1712", tries = 300)
    void namedCausesHoldTheOrderWhereClocksAreBeyondTheBound(
            @ForAll("steps") List<SkewedFleet.Step> steps) {
        SkewedFleet fleet = new SkewedFleet(5_000, true);
        steps.forEach(fleet::run);

        assertThat(fleet.firstFault(TimelineMerge.order(fleet.events()))).isEmpty();
    }

    /**
     * Nodes are asked one after another while events go on, so that an effect may be fetched a
     * round before its cause. What was shown can't be taken back: it must be held.
     */
    @Property(seed = "1713", tries = 300)
    void liveOrderIsCausalThoughNodesAreAskedOneAfterAnother(
            @ForAll("steps") List<SkewedFleet.Step> steps, @ForAll Random random)
            throws InterruptedException {
        SkewedFleet fleet = new SkewedFleet(NO_BOUND_MILLIS, false);
        Iterator<SkewedFleet.Step> left = steps.iterator();
        TimelineReader reader =
                new TimelineReader(
                        fleet.source(
                                () -> {
                                    for (int i = random.nextInt(3); i > 0 && left.hasNext(); i--) {
                                        fleet.run(left.next());
                                    }
                                }),
                        fleet.addresses(),
                        1_000);
        LiveTimeline live = new LiveTimeline(Long.MAX_VALUE, ALL);
        List<Event> shown = new ArrayList<>();
        while (left.hasNext()) {
            live.add(reader.read(), 0).forEach(event -> shown.add(event.event()));
        }
        live.add(reader.read(), 0).forEach(event -> shown.add(event.event()));
        live.end().forEach(event -> shown.add(event.event()));

        assertThat(fleet.firstFault(shown)).isEmpty();
        assertThat(shown).containsExactlyInAnyOrderElementsOf(fleet.events());
    }

    @Provide
    Arbitrary<List<SkewedFleet.Step>> steps() {
        return SkewedFleet.steps();
    }
}
