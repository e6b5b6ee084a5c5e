package org.apricotgauge.bench.soak;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotgauge.bench.soak.Signal.Kind;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.http.HttpStatus;

/** Judges each request by what its caller saw and what the targets ran. */
final class Judge {
    /** A stop counts until so long after the platform kills the process, in milliseconds. */
    private static final long AFTER_STOP_MILLIS = 1_000;

    /** Only requests sent this soon after the entry's signal are excused, in milliseconds. */
    private static final long EARLY_MILLIS = 3_000;

    /**
     * A connection that ends later than this after the last byte of a request was read, in
     * milliseconds.
     */
    private static final long CROSSING_MILLIS = 200;

    /** Tolerance where two clocks' readings are compared, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 200;

    private static final Set<Verdict> LOST =
            EnumSet.of(Verdict.LOST_STOPPING, Verdict.LOST_CALM, Verdict.LOST_UNSIGNALLED);

    private final Signals mSignals;
    private final Map<String, List<RunRecord>> mRuns;
    private final long mStopMillis;

    /**
     * Creates a judge.
     *
     * @param signals all signals
     * @param runs all runs
     * @param stopMillis time from SIGTERM until the platform kills a process
     */
    Judge(Signals signals, List<RunRecord> runs, long stopMillis) {
        mSignals = Checks.notNull("signals", signals);
        mRuns = runs.stream().collect(Collectors.groupingBy(RunRecord::id));
        mStopMillis = Checks.inRange("stopMillis", stopMillis, 1, Long.MAX_VALUE);
    }

    Finding judge(Exchange exchange) {
        List<RunRecord> runs = mRuns.getOrDefault(exchange.request().id(), List.of());
        Verdict verdict = verdict(exchange, runs);
        if (!LOST.contains(verdict)) {
            return new Finding(verdict, Optional.empty(), exchange, runs);
        }
        Optional<Excuse> excuse =
                excuse(exchange, runs).or(() -> guardExcuse(verdict, exchange, runs));
        return new Finding(excuse.isPresent() ? Verdict.EXCUSED : verdict, excuse, exchange, runs);
    }

    private Verdict verdict(Exchange exchange, List<RunRecord> runs) {
        if (!exchange.request().isIdempotent() && runs.size() > 1) {
            return Verdict.RAN_TWICE;
        }
        if (!exchange.isWhole()) {
            return ofBrokenAnswer(exchange, runs);
        }
        if (exchange.isServed()) {
            return Verdict.SERVED;
        }
        if (exchange.isFromTarget()) {
            return Verdict.WRONG_ANSWER;
        }
        return switch (exchange.status()) {
            case HttpStatus.INTERNAL_SERVER_ERROR_500 -> Verdict.OWN_ERROR;
            case HttpStatus.SERVICE_UNAVAILABLE_503, HttpStatus.TOO_MANY_REQUESTS_429 ->
                    ofRefusal(exchange, runs);
            case HttpStatus.GATEWAY_TIMEOUT_504 -> ofUnknown(exchange, runs);
            default -> Verdict.WRONG_ANSWER;
        };
    }

    private Verdict ofBrokenAnswer(Exchange exchange, List<RunRecord> runs) {
        if (exchange.bytes() > 0 || !runs.isEmpty()) {
            return lost(exchange, runs);
        }
        if (exchange.failure().contains("SocketTimeoutException")) {
            return Verdict.SILENT;
        }
        boolean isCrossed =
                exchange.isBehind()
                        || exchange.endMillis() - exchange.sentMillis() <= CROSSING_MILLIS;
        return isCrossed ? Verdict.CROSSED : lost(exchange, runs);
    }

    private Verdict ofRefusal(Exchange exchange, List<RunRecord> runs) {
        if (runs.isEmpty()) {
            return Verdict.REFUSED;
        }
        if (!exchange.request().isIdempotent()) {
            return Verdict.FALSE_REFUSAL;
        }
        // A run that has been broken off was at work, whatever has passed since.
        boolean wasAtWork =
                runs.stream()
                        .anyMatch(
                                run ->
                                        !run.isWhole()
                                                || run.plannedEndMillis() > exchange.endMillis());
        return wasAtWork ? lost(exchange, runs) : Verdict.REFUSED;
    }

    private Verdict ofUnknown(Exchange exchange, List<RunRecord> runs) {
        if (!exchange.outcome().equals(HeaderNames.OUTCOME_UNKNOWN)) {
            return Verdict.WRONG_ANSWER;
        }
        return runs.isEmpty() ? Verdict.UNKNOWN : lost(exchange, runs);
    }

    private Verdict lost(Exchange exchange, List<RunRecord> runs) {
        if (isStopping(exchange.entry(), exchange, mStopMillis + AFTER_STOP_MILLIS)) {
            return Verdict.LOST_STOPPING;
        }
        return runs.stream().anyMatch(run -> isStopping(run.node(), exchange, mStopMillis))
                ? Verdict.LOST_CALM
                : Verdict.LOST_UNSIGNALLED;
    }

    private boolean isStopping(int node, Exchange exchange, long beforeMillis) {
        long fromMillis = exchange.sentMillis() - beforeMillis;
        return mSignals.stopBefore(node, exchange.sentMillis()).isPresent()
                || mSignals.has(node, Kind.STOP, fromMillis, exchange.endMillis());
    }

    private Optional<Excuse> excuse(Exchange exchange, List<RunRecord> runs) {
        if (mSignals.has(
                exchange.entry(), Kind.KILL, exchange.sentMillis(), exchange.endMillis())) {
            return Optional.of(Excuse.ENTRY_KILLED);
        }
        if (runs.stream().anyMatch(run -> isKilled(run, exchange.endMillis()))) {
            return Optional.of(Excuse.GUARD_KILLED);
        }
        if (isKilledAfterPause(exchange.entry(), exchange.endMillis())
                || runs.stream().anyMatch(run -> isKilledAfterPause(run.node(), run.endMillis()))) {
            return Optional.of(Excuse.NODE_PAUSED);
        }
        long tookMillis = exchange.endMillis() - exchange.begunMillis();
        if (tookMillis >= exchange.request().timeoutMillis() - TOLERANCE_MILLIS) {
            return Optional.of(Excuse.DEADLINE);
        }
        return isEntryOutOfTime(exchange, runs)
                ? Optional.of(Excuse.ENTRY_OUT_OF_TIME)
                : Optional.empty();
    }

    /** A guard's end excuses nothing at an entry that stops itself. */
    private Optional<Excuse> guardExcuse(Verdict verdict, Exchange exchange, List<RunRecord> runs) {
        boolean isGuardOutOfTime =
                verdict != Verdict.LOST_STOPPING
                        && !exchange.request().isIdempotent()
                        && runs.stream().anyMatch(this::isGuardOutOfTime);
        return isGuardOutOfTime ? Optional.of(Excuse.GUARD_OUT_OF_TIME) : Optional.empty();
    }

    private boolean isKilled(RunRecord run, long endMillis) {
        long untilMillis = Math.min(run.plannedEndMillis(), endMillis + TOLERANCE_MILLIS);
        return mSignals.has(run.node(), Kind.KILL, run.startMillis(), untilMillis);
    }

    private boolean isKilledAfterPause(int node, long millis) {
        return mSignals.stopBefore(node, millis)
                .filter(stop -> mSignals.isPausedAt(node, stop))
                .filter(stop -> mSignals.has(node, Kind.KILL_LATE, stop, millis + TOLERANCE_MILLIS))
                .isPresent();
    }

    private boolean isEntryOutOfTime(Exchange exchange, List<RunRecord> runs) {
        Optional<Long> stop = mSignals.stopBefore(exchange.entry(), exchange.endMillis());
        if (stop.isEmpty() || exchange.sentMillis() > stop.get() + EARLY_MILLIS) {
            return false;
        }
        long lastSixthMillis = stop.get() + mStopMillis * 5 / 6;
        return exchange.endMillis() >= lastSixthMillis
                && runs.stream().anyMatch(run -> run.isAtWorkUntil(lastSixthMillis));
    }

    private boolean isGuardOutOfTime(RunRecord run) {
        return mSignals.stopBefore(run.node(), run.endMillis())
                .filter(stop -> run.startMillis() <= stop + TOLERANCE_MILLIS)
                .filter(stop -> run.plannedEndMillis() >= stop + mStopMillis - TOLERANCE_MILLIS)
                .isPresent();
    }
}
