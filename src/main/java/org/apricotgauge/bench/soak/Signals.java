package org.apricotgauge.bench.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.bench.soak.Signal.Kind;

/** All signals of a soak. */
final class Signals {
    private static final long NEAR_MILLIS = 8_000;

    private final List<Signal> mSignals;

    Signals(List<Signal> signals) {
        mSignals = signals.stream().sorted(Comparator.comparingLong(Signal::millis)).toList();
    }

    long count(Kind kind) {
        return mSignals.stream().filter(signal -> signal.kind() == kind).count();
    }

    /** Returns whether a node got a signal of a kind in a time, its ends included. */
    boolean has(int node, Kind kind, long fromMillis, long toMillis) {
        return mSignals.stream()
                .anyMatch(
                        signal ->
                                signal.node() == node
                                        && signal.kind() == kind
                                        && signal.millis() >= fromMillis
                                        && signal.millis() <= toMillis);
    }

    /** Returns when the stop began in which a node is, or is again, at a time. */
    Optional<Long> stopBefore(int node, long millis) {
        Long stop = null;
        for (Signal signal : mSignals) {
            if (signal.node() != node || signal.millis() > millis) {
                continue;
            }
            if (signal.kind() == Kind.STOP) {
                stop = signal.millis();
            } else if (signal.kind() == Kind.STARTED) {
                stop = null;
            }
        }
        return Optional.ofNullable(stop);
    }

    /** Returns whether a node's process was paused at a time. */
    boolean isPausedAt(int node, long millis) {
        boolean isPaused = false;
        for (Signal signal : mSignals) {
            if (signal.node() != node || signal.millis() > millis) {
                continue;
            }
            if (signal.kind() == Kind.PAUSE) {
                isPaused = true;
            } else if (signal.kind() == Kind.RESUME || signal.kind() == Kind.STARTED) {
                isPaused = false;
            }
        }
        return isPaused;
    }

    /** Returns how many processes the platform killed though they were not paused at SIGTERM. */
    long killedLate() {
        return countUnlessPaused(Kind.KILL_LATE);
    }

    /** Returns how many processes ended too late though they were not paused at SIGTERM. */
    long endedLate() {
        return countUnlessPaused(Kind.ENDED_LATE);
    }

    private long countUnlessPaused(Kind kind) {
        return mSignals.stream()
                .filter(signal -> signal.kind() == kind)
                .filter(
                        signal ->
                                stopBefore(signal.node(), signal.millis())
                                        .filter(stop -> isPausedAt(signal.node(), stop))
                                        .isEmpty())
                .count();
    }

    /** Returns the signals of a node around an exchange. */
    List<Signal> near(int node, Exchange exchange) {
        return mSignals.stream()
                .filter(signal -> signal.node() == node)
                .filter(signal -> signal.millis() >= exchange.sentMillis() - NEAR_MILLIS)
                .filter(signal -> signal.millis() <= exchange.endMillis() + NEAR_MILLIS)
                .toList();
    }
}
