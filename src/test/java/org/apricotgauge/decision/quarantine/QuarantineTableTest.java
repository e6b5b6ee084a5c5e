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
    private final RecordingListener mListener = new RecordingListener();
    private final QuarantineTable mTable = new QuarantineTable(mTicker, mListener);
    private long mCrashId;

    @Test
    void twoCrashesDoNotQuarantine() {
        crash(LETHAL);
        crash(LETHAL);

        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isZero();
        assertThat(mTable.isSuspectHead(LETHAL.head())).isTrue();
        assertThat(mTable.isQuarantinedHead(LETHAL.head())).isFalse();
    }

    @Test
    void theThirdCrashQuarantinesARequest() {
        crashThrice(LETHAL);

        assertThat(mTable.remainingQuarantineMillis(LETHAL))
                .isEqualTo(CrashRecord.BASE_QUARANTINE_MILLIS);
        assertThat(mTable.isQuarantinedHead(LETHAL.head())).isTrue();
        assertThat(mListener.mQuarantined).containsExactly(LETHAL);
    }

    // Guards against counting one crash several times when messages are lost and duplicated.
    @Test
    void aCrashReceivedSeveralTimesCountsOnce() {
        for (int i = 0; i < 5; i++) {
            merge(LETHAL, CrashRecord.NONE.with(new Crash(7, mTicker.millis())), true);
        }

        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isZero();
    }

    // Guards against refusing a popular request because it happened to run during crashes.
    @Test
    void aRequestThatSucceededBeforeAWaveOfCrashesIsNotQuarantined() {
        mTable.recordSuccess(POPULAR);
        mTicker.advanceMillis(1_000);
        crashThrice(POPULAR);

        assertThat(mTable.remainingQuarantineMillis(POPULAR)).isZero();
    }

    // Guards against refusing a popular request whose successful run another node reports late.
    @Test
    void aSuccessAtAnotherNodeReleasesARequest() {
        crashThrice(POPULAR);
        assertThat(mTable.remainingQuarantineMillis(POPULAR)).isPositive();

        long clearedUntilMillis = mTicker.millis() + QuarantineTable.CLEARED_AFTER_SUCCESS_MILLIS;
        merge(POPULAR, CrashRecord.NONE.withClearedUntil(clearedUntilMillis), true);

        assertThat(mTable.remainingQuarantineMillis(POPULAR)).isZero();
        assertThat(mListener.mReleased).containsExactly(POPULAR);
    }

    // Guards against a new quarantine due to cleared crashes that other nodes report late.
    @Test
    void clearedCrashesReceivedLateDoNotCount() {
        mTable.recordSuccess(POPULAR);
        for (int id = 0; id < 5; id++) {
            mTicker.advanceMillis(100);
            merge(POPULAR, CrashRecord.NONE.with(new Crash(id, mTicker.millis())), false);
        }

        assertThat(mTable.remainingQuarantineMillis(POPULAR)).isZero();
    }

    // Guards against clearing a request that crashes targets only since their latest release.
    @Test
    void anOldSuccessClearsNothing() {
        mTable.recordSuccess(LETHAL);
        mTicker.advanceMillis(QuarantineTable.CLEARED_AFTER_SUCCESS_MILLIS + 1);
        crashThrice(LETHAL);

        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isPositive();
    }

    @Test
    void eachFurtherCrashDoublesTheQuarantine() {
        crashThrice(LETHAL);
        mTicker.advanceMillis(CrashRecord.BASE_QUARANTINE_MILLIS);
        mTable.expire();
        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isZero();
        assertThat(mListener.mReleased).containsExactly(LETHAL);

        crash(LETHAL);

        assertThat(mTable.remainingQuarantineMillis(LETHAL))
                .isEqualTo(2 * CrashRecord.BASE_QUARANTINE_MILLIS);
    }

    @Test
    void recordsExpireAfterRetention() {
        crashThrice(LETHAL);
        mTicker.advanceMillis(CrashRecord.BASE_QUARANTINE_MILLIS + CrashRecord.RETENTION_MILLIS);
        mTable.expire();

        assertThat(mTable.size()).isZero();
        crash(LETHAL);
        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isZero();
    }

    @Test
    void anOperatorReleasesARequest() {
        crashThrice(LETHAL);

        assertThat(mTable.release(LETHAL)).isTrue();

        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isZero();
        assertThat(mTable.release(LETHAL)).isFalse();
        mTicker.advanceMillis(1);
        crashThrice(LETHAL);
        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isPositive();
    }

    // Guards against an attacker who invents requests until a quarantined one is evicted.
    @Test
    void aFullTableKeepsQuarantinedRequests() {
        crashThrice(LETHAL);
        for (int i = 0; i < 3 * QuarantineTable.MAX_RECORDS; i++) {
            mTicker.advanceMillis(1);
            crash(new Fingerprint(100 + i, 0));
        }

        assertThat(mTable.remainingQuarantineMillis(LETHAL)).isPositive();
        assertThat(mTable.size()).isEqualTo(QuarantineTable.MAX_RECORDS);
        assertThat(mListener.mTableFullCalls).isZero();
    }

    @Test
    void aCrashIsNotRecordedWhenAllRecordsAreQuarantined() {
        for (int i = 0; i < QuarantineTable.MAX_RECORDS; i++) {
            crashThrice(new Fingerprint(100 + i, 0));
        }
        crash(LETHAL);

        assertThat(mListener.mTableFullCalls).isEqualTo(1);
        assertThat(mTable.quarantinedCount()).isEqualTo(QuarantineTable.MAX_RECORDS);
    }

    // Guards against refusing all requests with one head because some bodies were not read.
    @Test
    void anIncompleteFingerprintIsNotQuarantined() {
        Fingerprint unread = new Fingerprint(1, Fingerprint.UNKNOWN_BODY);
        crashThrice(unread);
        crash(unread);

        assertThat(mTable.remainingQuarantineMillis(unread)).isZero();
        assertThat(mTable.isQuarantinedHead(1)).isFalse();
        assertThat(mTable.isSuspectHead(1)).isTrue();
        assertThat(mListener.mQuarantined).isEmpty();
        assertThat(mListener.mReleased).isEmpty();
    }

    private void merge(Fingerprint fingerprint, CrashRecord record, boolean isUpdate) {
        mTable.merge(List.of(new QuarantineTable.Entry(fingerprint, record)), isUpdate);
    }

    private void crashThrice(Fingerprint fingerprint) {
        for (int i = 0; i < CrashRecord.QUARANTINE_CRASHES; i++) {
            crash(fingerprint);
        }
    }

    private void crash(Fingerprint fingerprint) {
        mTable.recordCrash(List.of(fingerprint), mCrashId++);
    }

    /** Records the calls that it receives. */
    private static final class RecordingListener implements QuarantineListener {
        private final List<Fingerprint> mQuarantined = new ArrayList<>();
        private final List<Fingerprint> mReleased = new ArrayList<>();
        private int mTableFullCalls;

        @Override
        public void quarantined(Fingerprint fingerprint, int crashes, long quarantineMillis) {
            mQuarantined.add(fingerprint);
        }

        @Override
        public void released(Fingerprint fingerprint) {
            mReleased.add(fingerprint);
        }

        @Override
        public void recordChanged(Fingerprint fingerprint, boolean isUrgent) {}

        @Override
        public void tableFull() {
            mTableFullCalls++;
        }
    }
}
