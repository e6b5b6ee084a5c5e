package org.apricotgauge.decision.quarantine;

/** Hears what changes in a {@link QuarantineTable}; called outside its lock, on any thread. */
public interface QuarantineListener {

    /** A request is held from now on. */
    void quarantined(Fingerprint fingerprint, int crashes, long heldMillis);

    /** A request is let through again, since it ran well or an operator wants it. */
    void released(Fingerprint fingerprint);

    /**
     * A record tells more than before.
     *
     * @param isUrgent whether others should hear of it soon
     */
    void recordChanged(Fingerprint fingerprint, boolean isUrgent);

    /** A crash was not taken in, since all room is taken by requests that are held. */
    void tableFull();
}
