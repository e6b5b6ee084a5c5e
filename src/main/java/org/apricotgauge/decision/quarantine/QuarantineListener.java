package org.apricotgauge.decision.quarantine;

/** Receives the changes of a {@link QuarantineTable}; called outside its lock, on any thread. */
public interface QuarantineListener {

    /** Called when a request is quarantined. */
    void quarantined(Fingerprint fingerprint, int crashes, long quarantineMillis);

    /** Called when a request is released: after a successful run, by an operator, or by expiry. */
    void released(Fingerprint fingerprint);

    /**
     * Called when a record has changed.
     *
     * @param isUrgent whether other nodes should receive the change soon
     */
    void recordChanged(Fingerprint fingerprint, boolean isUrgent);

    /** Called when a crash is not recorded since the table is full of quarantined requests. */
    void tableFull();
}
