package org.apricotgauge.decision.quarantine;

/** Ignores all changes of a table. */
public final class NoopQuarantineListener implements QuarantineListener {
    @Override
    public void quarantined(Fingerprint fingerprint, int crashes, long quarantineMillis) {}

    @Override
    public void released(Fingerprint fingerprint) {}

    @Override
    public void recordChanged(Fingerprint fingerprint, boolean isUrgent) {}

    @Override
    public void tableFull() {}
}
