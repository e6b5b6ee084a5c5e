package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class IdempotencyLedgerTest {
    private static final long ALWAYS = Long.MIN_VALUE / 2;
    private static final KeyLimits LIMITS =
            new KeyLimits(2, 10, 1_000, KeyLimits.NewOwnerPolicy.REFUSE);

    private final IdempotencyLedger mLedger = new IdempotencyLedger(LIMITS, 0);

    @Test
    void newGuardRefusesUntilPredecessorKeysExpire() {
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 400))
                .isEqualTo(new KeyDecision.HistoryUnknown(600));
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 1_000)).isEqualTo(new KeyDecision.Execute());
        assertThat(mLedger.begin(key("b"), 1, 900, 1_500))
                .isEqualTo(new KeyDecision.HistoryUnknown(400));
    }

    @Test
    void duplicateSubmissionFindsTheFirst() {
        mLedger.begin(key("a"), 1, ALWAYS, 1_000);
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 9_000))
                .isEqualTo(new KeyDecision.InProgress());
        assertThat(mLedger.begin(key("a"), 2, ALWAYS, 9_000)).isEqualTo(new KeyDecision.Conflict());
        mLedger.completed(key("a"), answer("booked"), 9_000);
        KeyDecision decision = mLedger.begin(key("a"), 1, ALWAYS, 10_000);
        assertThat(decision)
                .isInstanceOfSatisfying(
                        KeyDecision.Replay.class,
                        replay -> assertThat(replay.answer().isComplete()).isTrue());
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 10_001)).isEqualTo(new KeyDecision.Execute());
    }

    @Test
    void allowsKeyAgainOnlyIfItDidNotRun() {
        mLedger.begin(key("a"), 1, ALWAYS, 1_000);
        mLedger.notRun(key("a"));
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 1_001)).isEqualTo(new KeyDecision.Execute());
        mLedger.outcomeUnknown(key("a"), 1_002);
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 1_003))
                .isEqualTo(new KeyDecision.OutcomeUnknown());
        assertThatThrownBy(() -> mLedger.notRun(key("a")))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    void refusesKeysWhenFullAndDropsOldestBodiesFirst() {
        mLedger.begin(key("a"), 1, ALWAYS, 1_000);
        mLedger.completed(key("a"), answer("12345678"), 1_000);
        mLedger.begin(key("b"), 1, ALWAYS, 1_000);
        mLedger.completed(key("b"), answer("1234"), 1_100);
        assertThat(mLedger.begin(key("a"), 1, ALWAYS, 1_100))
                .isEqualTo(new KeyDecision.Replay(answer("12345678").dropBody()));
        assertThat(mLedger.begin(key("c"), 1, ALWAYS, 1_500))
                .isEqualTo(new KeyDecision.LedgerFull(500));
        assertThat(mLedger.begin(key("c"), 1, ALWAYS, 2_001)).isEqualTo(new KeyDecision.Execute());
    }

    @Test
    void retentionMustCoverAttemptLifetime() {
        KeyLimits.DEFAULT.requireCovers(AttemptLimits.DEFAULT);
        assertThatThrownBy(() -> LIMITS.requireCovers(AttemptLimits.DEFAULT))
                .hasMessageContaining("retentionMillis");
    }

    @Test
    void newTargetTakesOnlyItsShareOfKeys() {
        List<String> before = List.of("t1", "t2", "t3");
        List<String> after = List.of("t4", "t3", "t2", "t1");
        long moved =
                IntStream.range(0, 1_000)
                        .mapToObj(i -> key("k" + i))
                        .filter(key -> !KeyOwner.of(key, before).equals(KeyOwner.of(key, after)))
                        .peek(key -> assertThat(KeyOwner.of(key, after)).isEqualTo("t4"))
                        .count();
        assertThat(moved).isBetween(200L, 300L);
    }

    private static IdempotencyKey key(String value) {
        return IdempotencyKey.parse("orders", "firm-3", '"' + value + '"').orElseThrow();
    }

    private static StoredAnswer answer(String body) {
        return new StoredAnswer(200, "text/plain", body.length(), ByteBuffer.wrap(body.getBytes()));
    }
}
