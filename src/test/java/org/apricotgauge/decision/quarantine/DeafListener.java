package org.apricotgauge.decision.quarantine;

/** Passes on nothing of what changes in a table. */
public final class DeafListener implements QuarantineListener {
    @Override
    public void held(Fingerprint fingerprint, int crashes, long heldMillis) {}

    @Override
    public void released(Fingerprint fingerprint) {}

    @Override
    public void changed(Fingerprint fingerprint, boolean isUrgent) {}

    @Override
    public void full() {}
}
