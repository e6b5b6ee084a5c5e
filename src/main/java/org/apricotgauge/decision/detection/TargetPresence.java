package org.apricotgauge.decision.detection;

/** Whether a configured target can take work, by membership and not by detection. */
public enum TargetPresence {
    /** Takes work in full. */
    PRESENT,
    /** In its cold start; counts as missing for the floor. */
    RAMPING,
    /** Drains; takes no new work. */
    LEAVING,
    /** Gone. */
    TERMINATED
}
