package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class TargetLimitTest {
    private static final TargetNotice NONE = TargetNotice.of(null, List.of());

    private final AdmissionQueue mQueue = new AdmissionQueue(AdmissionConfig.forSlots(3));
    private final Counter mLimited = new Counter();
    private final List<Optional<StartLimit>> mReported = new ArrayList<>();
    private final TargetLimit mLimit =
            new TargetLimit(
                    new Target("t", "s", "vm", "here", "127.0.0.1", 1, 3),
                    mQueue,
                    new LimitReport(
                            new RunLog(new ManualTicker()),
                            mLimited,
                            (target, limit) -> mReported.add(limit)));

    private static TargetNotice named(String... values) {
        return TargetNotice.of(null, List.of(values));
    }

    @Test
    void aLimitHoldsUntilAnAnswerComesWithoutIt() {
        mLimit.told(named("2"), true, 0, 100);
        assertThat(mLimit.inForce()).contains(new StartLimit(2));
        assertThat(mQueue.isRateLimited(100)).isTrue();

        mLimit.told(named("0.5"), true, 100, 200);
        assertThat(mLimit.inForce()).contains(new StartLimit(0.5));
        assertThat(mLimited.getCount()).isEqualTo(1);

        mLimit.told(NONE, true, 200, 300);
        assertThat(mLimit.inForce()).isEmpty();
        assertThat(mQueue.isRateLimited(300)).isFalse();
        assertThat(mLimited.getCount()).isZero();
        assertThat(mReported)
                .containsExactly(
                        Optional.of(new StartLimit(2)),
                        Optional.of(new StartLimit(0.5)),
                        Optional.empty());
    }

    /** Guards against a limit lifted by an answer that was given before it was named. */
    @Test
    void anAnswerThatWasOvertakenLiftsNothing() {
        mLimit.told(named("2"), true, 0, 100);

        mLimit.told(NONE, true, 99, 101);

        assertThat(mLimit.inForce()).contains(new StartLimit(2));
    }

    /** Guards against a flood at a target whose refusals do not name its limit again. */
    @Test
    void aRefusalLiftsNothing() {
        mLimit.told(named("2"), true, 0, 100);

        mLimit.told(NONE, false, 200, 201);

        assertThat(mLimit.inForce()).contains(new StartLimit(2));
    }

    @Test
    void whatCannotBeReadLeavesTheLimitAsItIs() {
        mLimit.told(named("2"), true, 0, 100);

        mLimit.told(named("a few"), true, 200, 300);

        assertThat(mLimit.inForce()).contains(new StartLimit(2));
    }

    /** Guards against a burst from a guard that has restarted and knows no limit. */
    @Test
    void anEntrysWordCountsUntilTheTargetHasAnswered() {
        mLimit.heard(new StartLimit(2), 0);
        assertThat(mLimit.inForce()).contains(new StartLimit(2));

        mLimit.told(NONE, true, 10, 20);
        mLimit.heard(new StartLimit(2), 30);

        assertThat(mLimit.inForce()).isEmpty();
    }
}
