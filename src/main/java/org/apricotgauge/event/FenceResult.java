package org.apricotgauge.event;

/** What a guard answered to a fence. */
public enum FenceResult {
    /** The attempt had not reached the target, and from now on never will. */
    NOT_RUN,
    /** The attempt had reached the target and has no answer yet. */
    STARTED,
    /** The attempt had its answer. */
    COMPLETED,
    /** The guard gave no answer in time. */
    UNANSWERED
}
