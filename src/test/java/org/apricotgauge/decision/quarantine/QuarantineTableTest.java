package org.apricotgauge.decision.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class QuarantineTableTest {
    private static final Fingerprint LETHAL = new Fingerprint(1, 0);
    private static final Fingerprint POPULAR = new Fingerprint(2, 0);

    private final ManualTicker mTicker = new ManualTicker();
    private final Heard mHeard = new Heard();
    private final QuarantineTable mTable = new QuarantineTable(mTicker, mHeard);
    private long mCrashId;

    @Test
    void twoCrashesAreNoProof() {
        crash(LETHAL);
        crash(LETHAL);

        assertThat(mTable.heldMillis(LETHAL)).isZero();
        assertThat(mTable.isSuspectHead(LETHAL.head())).isTrue();
        assertThat(mTable.isHeldHead(LETHAL.head())).isFalse();
    }

    @Test
    void theThirdCrashHoldsARequest() {
        crashThrice(LETHAL);

        assertThat(mTable.heldMillis(LETHAL)).isEqualTo(CrashRecord.HOLD_MILLIS);
        assertThat(mTable.isHeldHead(LETHAL.head())).isTrue();
        assertThat(mHeard.mHeld).containsExactly(LETHAL);
    }

    // Guards against one crash that is told three times, as by lost and repeated messages.
    @Test
    void oneCrashCountsOnceHoweverOftenItIsTold() {
        for (int i = 0; i < 5; i++) {
            learn(LETHAL, CrashRecord.NONE.with(new Crash(7, mTicker.millis())), true);
        }

        assertThat(mTable.heldMillis(LETHAL)).isZero();
    }

    // Guards against refusing a popular request for the crashes that it happened to run in.
    @Test
    void aRequestThatEndsWellBeforeAWaveOfCrashesIsNotHeld() {
        mTable.endedWell(POPULAR);
        mTicker.advanceMillis(1_000);
        crashThrice(POPULAR);

        assertThat(mTable.heldMillis(POPULAR)).isZero();
    }

    // Guards against the same where another node saw the good run, and its word comes late.
    @Test
    void aGoodRunElsewhereReleasesARequest() {
        crashThrice(POPULAR);
        assertThat(mTable.heldMillis(POPULAR)).isPositive();

        long clearedUntilMillis = mTicker.millis() + QuarantineTable.CLEARED_MILLIS;
        learn(POPULAR, CrashRecord.NONE.voidUntil(clearedUntilMillis), true);

        assertThat(mTable.heldMillis(POPULAR)).isZero();
        assertThat(mHeard.mReleased).containsExactly(POPULAR);
    }

    // Guards against holding it again by crashes that it was cleared of, told late by others.
    @Test
    void crashesOfBeforeAGoodRunNeverCountAgain() {
        mTable.endedWell(POPULAR);
        for (int id = 0; id < 5; id++) {
            mTicker.advanceMillis(100);
            learn(POPULAR, CrashRecord.NONE.with(new Crash(id, mTicker.millis())), false);
        }

        assertThat(mTable.heldMillis(POPULAR)).isZero();
    }

    // Guards against a request that was sound until a release of its targets, and crashes them now.
    @Test
    void aGoodRunOfLongAgoClearsNothing() {
        mTable.endedWell(LETHAL);
        mTicker.advanceMillis(QuarantineTable.CLEARED_MILLIS + 1);
        crashThrice(LETHAL);

        assertThat(mTable.heldMillis(LETHAL)).isPositive();
    }

    @Test
    void eachCrashAfterAHoldDoublesTheNext() {
        crashThrice(LETHAL);
        mTicker.advanceMillis(CrashRecord.HOLD_MILLIS);
        mTable.expire();
        assertThat(mTable.heldMillis(LETHAL)).isZero();
        assertThat(mHeard.mReleased).containsExactly(LETHAL);

        crash(LETHAL);

        assertThat(mTable.heldMillis(LETHAL)).isEqualTo(2 * CrashRecord.HOLD_MILLIS);
    }

    @Test
    void aLongSilenceForgetsARequest() {
        crashThrice(LETHAL);
        mTicker.advanceMillis(CrashRecord.HOLD_MILLIS + CrashRecord.REMEMBERED_MILLIS);
        mTable.expire();

        assertThat(mTable.size()).isZero();
        crash(LETHAL);
        assertThat(mTable.heldMillis(LETHAL)).isZero();
    }

    @Test
    void anOperatorLiftsAHold() {
        crashThrice(LETHAL);

        assertThat(mTable.lift(LETHAL)).isTrue();

        assertThat(mTable.heldMillis(LETHAL)).isZero();
        assertThat(mTable.lift(LETHAL)).isFalse();
        mTicker.advanceMillis(1);
        crashThrice(LETHAL);
        assertThat(mTable.heldMillis(LETHAL)).isPositive();
    }

    // Guards against an attacker who invents requests until a proven one is forgotten.
    @Test
    void aFullTableForgetsNoRequestThatIsHeld() {
        crashThrice(LETHAL);
        for (int i = 0; i < 3 * QuarantineTable.MAX_RECORDS; i++) {
            mTicker.advanceMillis(1);
            crash(new Fingerprint(100 + i, 0));
        }

        assertThat(mTable.heldMillis(LETHAL)).isPositive();
        assertThat(mTable.size()).isEqualTo(QuarantineTable.MAX_RECORDS);
        assertThat(mHeard.mFull).isZero();
    }

    @Test
    void whereAllAreHeldANewcomerIsCountedOut() {
        for (int i = 0; i < QuarantineTable.MAX_RECORDS; i++) {
            crashThrice(new Fingerprint(100 + i, 0));
        }
        crash(LETHAL);

        assertThat(mHeard.mFull).isEqualTo(1);
        assertThat(mTable.held()).isEqualTo(QuarantineTable.MAX_RECORDS);
    }

    // Guards against refusing all requests of a head since the body of some was not read.
    @Test
    void aFingerprintWithoutItsBodyHoldsNothing() {
        Fingerprint unread = new Fingerprint(1, Fingerprint.UNKNOWN_BODY);
        crashThrice(unread);
        crash(unread);

        assertThat(mTable.heldMillis(unread)).isZero();
        assertThat(mTable.isHeldHead(1)).isFalse();
        assertThat(mTable.isSuspectHead(1)).isTrue();
        assertThat(mHeard.mHeld).isEmpty();
        assertThat(mHeard.mReleased).isEmpty();
    }

    private void learn(Fingerprint fingerprint, CrashRecord record, boolean isNews) {
        mTable.learn(List.of(new QuarantineTable.Entry(fingerprint, record)), isNews);
    }

    private void crashThrice(Fingerprint fingerprint) {
        for (int i = 0; i < CrashRecord.PROOF; i++) {
            crash(fingerprint);
        }
    }

    private void crash(Fingerprint fingerprint) {
        mTable.crashed(List.of(fingerprint), mCrashId++);
    }

    /** Remembers what it hears. */
    private static final class Heard implements QuarantineListener {
        private final List<Fingerprint> mHeld = new ArrayList<>();
        private final List<Fingerprint> mReleased = new ArrayList<>();
        private int mFull;

        @Override
        public void held(Fingerprint fingerprint, int crashes, long heldMillis) {
            mHeld.add(fingerprint);
        }

        @Override
        public void released(Fingerprint fingerprint) {
            mReleased.add(fingerprint);
        }

        @Override
        public void changed(Fingerprint fingerprint, boolean isUrgent) {}

        @Override
        public void full() {
            mFull++;
        }
    }
}
