package org.apricotgauge.decision.detection;

/** The state that the detector keeps of one target between decisions. */
final class TargetState {
    private final String mTargetId;
    private final Readmission mReadmission = new Readmission();
    private final DominantFailureKey mFailureKey = new DominantFailureKey();
    private TargetPresence mPresence = TargetPresence.PRESENT;
    private Evidence mEvidence;
    private Evidence mEjectionEvidence;
    private long mProbedMillis;
    private long mReadmittedMillis = Long.MIN_VALUE;

    TargetState(String targetId) {
        mTargetId = targetId;
    }

    /** The strongest evidence against the target, and the view that it comes from. */
    record Evidence(EvidenceView view, VerdictScope scope, String source, Finding finding) {
        String text() {
            return finding.text(source);
        }
    }

    String targetId() {
        return mTargetId;
    }

    Readmission readmission() {
        return mReadmission;
    }

    DominantFailureKey failureKey() {
        return mFailureKey;
    }

    TargetPresence presence() {
        return mPresence;
    }

    void setPresence(TargetPresence presence) {
        mPresence = presence;
    }

    Evidence evidence() {
        return mReadmission.isEjected() ? mEjectionEvidence : mEvidence;
    }

    void setEvidence(Evidence evidence) {
        mEvidence = evidence;
    }

    boolean isCandidate() {
        return mReadmission.isEjected() || mEvidence.finding().isAlarm();
    }

    void eject(long nowMillis) {
        mEjectionEvidence = mEvidence;
        mReadmission.eject(nowMillis);
    }

    void readmit(long nowMillis) {
        mReadmission.readmit(nowMillis);
        mFailureKey.clear();
        mReadmittedMillis = nowMillis;
    }

    long readmittedMillis() {
        return mReadmittedMillis;
    }

    long probedMillis() {
        return mProbedMillis;
    }

    void setProbedMillis(long nowMillis) {
        mProbedMillis = nowMillis;
    }
}
