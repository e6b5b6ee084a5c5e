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

class TargetLimitTrackerTest {
    private static final TargetNotice NO_LIMIT = TargetNotice.of(null, List.of());

    private final AdmissionQueue mQueue = new AdmissionQueue(AdmissionConfig.forSlots(3));
    private final Counter mLimitedTargets = new Counter();
    private final List<Optional<StartLimit>> mReported = new ArrayList<>();
    private final TargetLimitTracker mTracker =
            new TargetLimitTracker(
                    new Target("t", "s", "vm", "here", "127.0.0.1", 1, 3),
                    mQueue,
                    new LimitReporter(
                            new TargetRunLog(new ManualTicker()),
                            mLimitedTargets,
                            (target, limit) -> mReported.add(limit)));

    private static TargetNotice noticeWithLimit(String... values) {
        return TargetNotice.of(null, List.of(values));
    }

    @Test
    void limitHoldsUntilAnAnswerOmitsIt() {
        mTracker.handleNotice(noticeWithLimit("2"), true, 0, 100);
        assertThat(mTracker.inForce()).contains(new StartLimit(2));
        assertThat(mQueue.isRateLimited(100)).isTrue();

        mTracker.handleNotice(noticeWithLimit("0.5"), true, 100, 200);
        assertThat(mTracker.inForce()).contains(new StartLimit(0.5));
        assertThat(mLimitedTargets.getCount()).isEqualTo(1);

        mTracker.handleNotice(NO_LIMIT, true, 200, 300);
        assertThat(mTracker.inForce()).isEmpty();
        assertThat(mQueue.isRateLimited(300)).isFalse();
        assertThat(mLimitedTargets.getCount()).isZero();
        assertThat(mReported)
                .containsExactly(
                        Optional.of(new StartLimit(2)),
                        Optional.of(new StartLimit(0.5)),
                        Optional.empty());
    }

    /** Guards against lifting a limit by an answer to a request sent before it was declared. */
    @Test
    void answerToAnEarlierRequestDoesNotLiftTheLimit() {
        mTracker.handleNotice(noticeWithLimit("2"), true, 0, 100);

        mTracker.handleNotice(NO_LIMIT, true, 99, 101);

        assertThat(mTracker.inForce()).contains(new StartLimit(2));
    }

    /** Guards against flooding a target whose rejections don't declare its limit again. */
    @Test
    void rejectionDoesNotLiftTheLimit() {
        mTracker.handleNotice(noticeWithLimit("2"), true, 0, 100);

        mTracker.handleNotice(NO_LIMIT, false, 200, 201);

        assertThat(mTracker.inForce()).contains(new StartLimit(2));
    }

    @Test
    void unreadableLimitKeepsTheLastOne() {
        mTracker.handleNotice(noticeWithLimit("2"), true, 0, 100);

        mTracker.handleNotice(noticeWithLimit("a few"), true, 200, 300);

        assertThat(mTracker.inForce()).contains(new StartLimit(2));
    }

    /** Guards against a burst from a guard that has restarted and has no limit yet. */
    @Test
    void entryLimitAppliesUntilTheTargetAnswers() {
        mTracker.handleEntryLimit(new StartLimit(2), 0);
        assertThat(mTracker.inForce()).contains(new StartLimit(2));

        mTracker.handleNotice(NO_LIMIT, true, 10, 20);
        mTracker.handleEntryLimit(new StartLimit(2), 30);

        assertThat(mTracker.inForce()).isEmpty();
    }
}
