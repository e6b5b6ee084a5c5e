package org.apricotgauge.bench.soak;

/**
 * A signal that the soak sent; the time is that of the soak.
 *
 * @param node number of the node
 * @param kind what was sent
 * @param millis when
 */
record Signal(int node, Kind kind, long millis) {
    enum Kind {
        /** SIGTERM of a planned stop. */
        STOP,
        /** SIGTERM to a node that is already stopping. */
        STOP_AGAIN,
        /** SIGKILL out of the blue. */
        KILL,
        /** SIGKILL by the platform, of a node that did not end in its time. */
        KILL_LATE,
        /** SIGHUP. */
        RELOAD,
        /** SIGSTOP. */
        PAUSE,
        /** SIGCONT. */
        RESUME,
        /** The process ended later than its stop allows, waits for a processor taken off. */
        ENDED_LATE,
        /** The process has ended. */
        ENDED,
        /** A new process was started. */
        STARTED,
        /** A new version of the configuration is in the store. */
        CONFIGURED,
        /** The target of the node is marked as leaving in the store. */
        TARGET_LEAVING,
        /** The target of the node is marked as ready in the store again. */
        TARGET_READY;

        /** Returns whether it is a change in the store, not a signal to a process. */
        boolean isOfStore() {
            return this == CONFIGURED || this == TARGET_LEAVING || this == TARGET_READY;
        }
    }
}
