package org.apricotgauge.caller;

/** One attempt of a caller's request, at a target, the owner of its key or the predecessor. */
interface TargetAttempt {

    /** Starts the attempt; its exchange is notified of its end. */
    void send();

    /** Abandons the attempt without waiting; cancels what has started if that is possible. */
    void abandon();

    /** Abandons the attempt because another one was answered; its target did nothing wrong. */
    default void cancel() {
        abandon();
    }

    /** Called when its answer has been forwarded or is not needed, or forwarding has failed. */
    void end();
}
