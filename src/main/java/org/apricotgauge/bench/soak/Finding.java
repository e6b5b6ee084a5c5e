package org.apricotgauge.bench.soak;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A request, its runs, and what became of it.
 *
 * @param verdict what became of it
 * @param excuse why it is excused
 * @param exchange what the caller saw
 * @param runs its runs at targets
 */
record Finding(Verdict verdict, Optional<Excuse> excuse, Exchange exchange, List<RunRecord> runs) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    Finding {
        runs = List.copyOf(runs);
    }

    /** Returns one line with times in seconds from the sending of the request. */
    String line(Signals signals) {
        long sent = exchange.sentMillis();
        String text =
                "%s%s %s %s (%s) entry %d at %.3f, end %+.3f, status %d %s %s, %d bytes%s; entry %s"
                        .formatted(
                                verdict,
                                excuse.map(reason -> " (" + reason + ")").orElse(""),
                                exchange.request().id(),
                                exchange.request().isIdempotent() ? "idempotent" : "once",
                                plan(),
                                exchange.entry(),
                                sent / MILLIS_PER_SECOND,
                                seconds(exchange.endMillis() - sent),
                                exchange.status(),
                                exchange.outcome(),
                                exchange.reason(),
                                exchange.bytes(),
                                exchange.failure().isEmpty() ? "" : ", " + exchange.failure(),
                                around(signals, exchange.entry()));
        return runs.stream()
                .map(run -> "; run at " + run.node() + ' ' + times(run) + around(signals, run))
                .collect(Collectors.joining("", text, ""));
    }

    private String plan() {
        PlannedRequest request = exchange.request();
        return "body %d, run %d of %d ms, pause %d, answer %d %s"
                .formatted(
                        request.bodyBytes(),
                        request.runMillis(),
                        request.timeoutMillis(),
                        request.pauseMillis(),
                        request.answerBytes(),
                        request.framing());
    }

    private String times(RunRecord run) {
        long sent = exchange.sentMillis();
        return String.format(
                Locale.ROOT,
                "%+.3f to %+.3f, %s %+.3f, ",
                seconds(run.startMillis() - sent),
                seconds(run.plannedEndMillis() - sent),
                run.isWhole() ? "answered" : "cut",
                seconds(run.endMillis() - sent));
    }

    private String around(Signals signals, RunRecord run) {
        return "guard " + around(signals, run.node());
    }

    private String around(Signals signals, int node) {
        return signals.near(node, exchange).stream()
                .map(
                        signal ->
                                String.format(
                                        Locale.ROOT,
                                        "%s %+.3f",
                                        signal.kind(),
                                        seconds(signal.millis() - exchange.sentMillis())))
                .collect(Collectors.joining(" ", "[", "]"));
    }

    private static double seconds(long millis) {
        return millis / MILLIS_PER_SECOND;
    }
}
