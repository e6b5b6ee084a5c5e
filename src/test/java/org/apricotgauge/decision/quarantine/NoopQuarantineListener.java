package org.apricotgauge.decision.quarantine;

/** Passes on nothing of what changes in a table. */
public final class NoopQuarantineListener implements QuarantineListener {
    @Override
    public void quarantined(Fingerprint fingerprint, int crashes, long heldMillis) {}

    @Override
    public void released(Fingerprint fingerprint) {}

    @Override
    public void recordChanged(Fingerprint fingerprint, boolean isUrgent) {}

    @Override
    public void tableFull() {}
}
