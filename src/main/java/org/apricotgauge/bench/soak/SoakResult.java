package org.apricotgauge.bench.soak;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a soak found.
 *
 * @param findings one for each request
 * @param signals all signals
 * @param notReady nodes that were not ready in time at the start
 * @param loadAverage the machine's load average over one minute, at its highest
 * @param lag how late the soak's own threads were
 * @param logs the nodes' logs
 */
public record SoakResult(
        List<Finding> findings,
        Signals signals,
        int notReady,
        double loadAverage,
        SoakLag lag,
        NodeLogs logs) {
    private static final long LAG_MARGIN_MILLIS = 500;

    /** Copies the findings. */
    public SoakResult {
        findings = List.copyOf(findings);
    }

    /** Returns whether all that must hold held, and the run tells something. */
    public boolean isSound() {
        return notReady == 0
                && count(Verdict.SERVED) > 0
                && signals.killedLate() == 0
                && signals.endedLate() == 0
                && faults().isEmpty();
    }

    long count(Verdict verdict) {
        return findings.stream().filter(finding -> finding.verdict() == verdict).count();
    }

    private long count(Excuse excuse) {
        return findings.stream()
                .filter(finding -> finding.excuse().stream().anyMatch(excuse::equals))
                .count();
    }

    /** Returns the requests whose treatment is not allowed. */
    List<Finding> faults() {
        return findings.stream().filter(finding -> !finding.verdict().isAllowed()).toList();
    }

    /** Returns for each request whose treatment is not allowed a line, and what nodes logged. */
    public String faultLines() {
        StringBuilder lines = new StringBuilder();
        for (Finding fault : faults()) {
            lines.append(fault.line(signals)).append(lag(fault.exchange())).append('\n');
            logs.of(fault.exchange()).forEach(line -> lines.append(line).append('\n'));
        }
        return lines.toString();
    }

    private String lag(Exchange exchange) {
        long fromMillis = exchange.sentMillis() - LAG_MARGIN_MILLIS;
        long toMillis = exchange.endMillis() + LAG_MARGIN_MILLIS;
        return "; the soak itself late by %d ms".formatted(lag.max(fromMillis, toMillis));
    }

    /** Returns the counts that are of interest over many soaks. */
    Tally tally() {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("requests", (long) findings.size());
        for (Verdict verdict : Verdict.values()) {
            counts.put(verdict.name().toLowerCase(Locale.ROOT), count(verdict));
        }
        counts.put("stops", signals.count(Signal.Kind.STOP));
        counts.put("killed_late", signals.killedLate());
        counts.put("ended_late", signals.endedLate());
        counts.put("not_ready", (long) notReady);
        counts.put("not_sound", isSound() ? 0L : 1L);
        return new Tally(counts);
    }

    /** Returns a line for each request that is excused. */
    String excusedLines() {
        return lines(findings.stream().filter(finding -> finding.excuse().isPresent()).toList());
    }

    private String lines(List<Finding> findings) {
        return findings.stream()
                .map(finding -> finding.line(signals) + '\n')
                .collect(Collectors.joining());
    }

    /** Returns the counts, one line each. */
    public String table() {
        StringBuilder table = new StringBuilder();
        row(table, "requests", findings.size());
        Arrays.stream(Verdict.values()).forEach(v -> row(table, v.name(), count(v)));
        Arrays.stream(Excuse.values()).forEach(e -> row(table, "  " + e.name(), count(e)));
        Arrays.stream(Signal.Kind.values())
                .forEach(kind -> row(table, "signal " + kind.name(), signals.count(kind)));
        row(table, "nodes not ready", notReady);
        table.append("load average %.1f%n".formatted(loadAverage));
        return table.append(isSound() ? "sound\n" : "NOT SOUND\n").toString();
    }

    private static void row(StringBuilder table, String name, long count) {
        table.append("%-24s %7d%n".formatted(name, count));
    }
}
