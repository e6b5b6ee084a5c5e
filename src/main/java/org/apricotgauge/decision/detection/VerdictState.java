package org.apricotgauge.decision.detection;

/** The standing of a target in detection. */
public enum VerdictState {
    /** No evidence that matters. */
    HEALTHY,
    /** Evidence short of the threshold, or past it while the floor keeps the target in service. */
    SUSPECT,
    /** Takes no work until its hold time is over. */
    EJECTED,
    /** Takes no work but the few repeatable requests that try it. */
    READMITTING
}
