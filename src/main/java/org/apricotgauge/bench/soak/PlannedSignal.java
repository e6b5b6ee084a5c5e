package org.apricotgauge.bench.soak;

import org.apricotgauge.bench.soak.Signal.Kind;
import org.apricotgauge.model.Checks;

/**
 * A signal that is to be sent.
 *
 * @param atMillis when, from the start of the load
 * @param node number of the node
 * @param kind what
 * @param restartMillis after a stop or kill, how long the node stays down
 * @param downMillis after a stop, how long from the signal until the node starts, at least
 * @param stopAgainMillis when the process that is started then gets its SIGTERM, from its start;
 *     {@link #NEVER} if it runs on
 */
record PlannedSignal(
        long atMillis,
        int node,
        Kind kind,
        long restartMillis,
        long downMillis,
        long stopAgainMillis) {
    static final long NEVER = -1;

    PlannedSignal {
        Checks.inRange("atMillis", atMillis, 0, Long.MAX_VALUE);
        Checks.notNull("kind", kind);
        Checks.inRange("restartMillis", restartMillis, 0, Long.MAX_VALUE);
        Checks.inRange("downMillis", downMillis, 0, Long.MAX_VALUE);
        Checks.inRange("stopAgainMillis", stopAgainMillis, NEVER, Long.MAX_VALUE);
    }

    static PlannedSignal stop(long atMillis, int node, long restartMillis) {
        return new PlannedSignal(atMillis, node, Kind.STOP, restartMillis, 0, NEVER);
    }

    static PlannedSignal kill(long atMillis, int node, long restartMillis) {
        return new PlannedSignal(atMillis, node, Kind.KILL, restartMillis, 0, NEVER);
    }

    /** Plans a signal after which the process goes on as before. */
    static PlannedSignal other(long atMillis, int node, Kind kind) {
        return new PlannedSignal(atMillis, node, kind, 0, 0, NEVER);
    }
}
