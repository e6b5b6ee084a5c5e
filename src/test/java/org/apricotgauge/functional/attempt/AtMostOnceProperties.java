package org.apricotgauge.functional.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Whatever the network, the processes and their clocks do, no caller is told what is not so.
 *
 * <p>A caller books through one of two entries, with or without a key, perhaps twice. Requests,
 * answers and fences are lost, doubled, held up and overtaken; processes pause, crash and come back
 * without memory; each has a clock of its own that moves as it likes. Then everything under way is
 * delivered, run and answered, and the oracle compares what ran with what was told.
 */
class AtMostOnceProperties {
    private static final int MAX_STEPS = 90;

    @Property(seed = "4711", tries = 40_000)
    void nothingIsToldThatIsNotSo(@ForAll("steps") List<Step> steps) {
        new World().run(steps);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step.Kind> kinds =
                Arbitraries.frequency(
                        Tuple.of(8, Step.Kind.SUBMIT),
                        Tuple.of(8, Step.Kind.SUBMIT_WITH_KEY),
                        Tuple.of(16, Step.Kind.DELIVER),
                        Tuple.of(20, Step.Kind.DELIVER_OLDEST),
                        Tuple.of(4, Step.Kind.LOSE),
                        Tuple.of(6, Step.Kind.DUPLICATE),
                        Tuple.of(16, Step.Kind.START),
                        Tuple.of(12, Step.Kind.TARGET_RUNS),
                        Tuple.of(8, Step.Kind.TARGET_ANSWERS),
                        Tuple.of(2, Step.Kind.TARGET_SHEDS),
                        Tuple.of(2, Step.Kind.TARGET_BREAKS),
                        Tuple.of(14, Step.Kind.GIVE_UP),
                        Tuple.of(2, Step.Kind.CALLER_CANCELS),
                        Tuple.of(4, Step.Kind.ENTRY_CLOCK),
                        Tuple.of(6, Step.Kind.GUARD_CLOCK),
                        Tuple.of(1, Step.Kind.CRASH_ENTRY),
                        Tuple.of(3, Step.Kind.CRASH_GUARD),
                        Tuple.of(1, Step.Kind.LEAVE),
                        Tuple.of(2, Step.Kind.PAUSE_ENTRY),
                        Tuple.of(2, Step.Kind.PAUSE_GUARD));
        Arbitrary<Integer> millis =
                Arbitraries.frequencyOf(
                        Tuple.of(3, Arbitraries.integers().between(1, 200)),
                        Tuple.of(2, Arbitraries.integers().between(200, 2_500)));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(0, 30),
                        millis)
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(MAX_STEPS);
    }

    /** A fuzz that never reaches a state proves nothing about it. */
    @AfterContainer
    static void everyAnswerWasReached() {
        System.out.println("at-most-once fuzz reached " + Oracle.COUNTS);
        assertThat(Oracle.COUNTS)
                .containsKeys("told Answered", "told NotRun", "told Unknown")
                .containsKeys("fence NOT_RUN", "fence STARTED", "fence COMPLETED")
                .containsKeys("fence UNKNOWN_FORGOTTEN", "arrival FENCED", "arrival EXPIRED")
                .containsKeys("arrival OTHER_INCARNATION", "arrival FORGOTTEN", "start refused")
                .containsKeys("key Execute", "key InProgress", "key Replay", "key OutcomeUnknown")
                .containsKeys("key HistoryUnknown", "offer Queued", "RetryAtSameGuard");
    }
}
