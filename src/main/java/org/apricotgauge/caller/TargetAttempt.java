package org.apricotgauge.caller;

/** One attempt of a caller's request at one target. */
interface TargetAttempt {

    /** Starts it; its exchange hears how it ends. */
    void send();

    /** Gives it up without waiting; what has started is cancelled if that is possible. */
    void abandon();

    /** Tells it that its answer was passed on, or broke. */
    void end();
}
