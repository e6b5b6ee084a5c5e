package org.apricotgauge.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.bench.OverloadScenario.Older;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Five members, one of them greedy, ask for two or five times what the target can do.
 *
 * <p>With a FIFO every caller waits behind the greedy one's backlog, urgent ones to their deadline,
 * and slots go to requests whose callers have left. With the queue the greedy member is refused at
 * once, and the others notice little.
 */
class OverloadSimulationTest {
    private static final int SECONDS = 20;
    private static final long SEED = 7;

    @ParameterizedTest
    @CsvSource({"3, 2, ABSENT", "3, 5, ABSENT", "7, 2, ABSENT", "7, 5, ABSENT"})
    void overloadCostsNeitherWorkNorFairnessNorTheUrgent(int slots, double load, Older older) {
        OverloadFigures figures = admission(slots, load, older);
        assertThat(figures.goodputPercent()).isGreaterThan(95);
        assertThat(figures.leastFairSharePercent()).isGreaterThan(90);
        assertThat(figures.urgentP99Millis()).isLessThan(2 * idleMillis(slots));
    }

    @ParameterizedTest
    @CsvSource({
        "3, 2, TARGET_SHEDS",
        "3, 5, TARGET_SHEDS",
        "7, 5, TARGET_SHEDS",
        "3, 5, TARGET_QUEUES",
        "7, 5, TARGET_QUEUES"
    })
    void slotsTakenUnseenCostLittle(int slots, double load, Older older) {
        OverloadFigures figures = admission(slots, load, older);
        assertThat(figures.goodputPercent()).isGreaterThan(90);
        assertThat(figures.leastFairSharePercent()).isGreaterThan(88);
        assertThat(figures.urgentP99Millis()).isLessThan(2 * idleMillis(slots));
    }

    /** The same bounds fail without the queue; were they to hold, they would prove nothing. */
    @ParameterizedTest
    @CsvSource({"3, 2", "7, 5"})
    void aFifoMeetsNoneOfTheBounds(int slots, double load) {
        int maxQueued = AdmissionConfig.forSlots(slots).maxQueued();
        OverloadScenario scenario = new OverloadScenario(slots, load, Older.ABSENT, SECONDS, SEED);
        OverloadFigures figures =
                new OverloadSimulation(scenario, new FifoPolicy(slots, maxQueued)).run();
        assertThat(figures.goodputPercent()).isLessThan(90);
        assertThat(figures.leastFairSharePercent()).isLessThan(60);
        assertThat(figures.urgentP99Millis()).isGreaterThan(5 * idleMillis(slots));
    }

    private static OverloadFigures admission(int slots, double load, Older older) {
        OverloadScenario scenario = new OverloadScenario(slots, load, older, SECONDS, SEED);
        return new OverloadSimulation(scenario, OverloadPolicy.admission(slots)).run();
    }

    private static double idleMillis(int slots) {
        return admission(slots, 0.1, Older.ABSENT).urgentP99Millis();
    }
}
