package org.apricotgauge.bench.soak;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What a soak found.
 *
 * @param findings one for each request
 * @param signals all signals
 * @param notReady nodes that were not ready in time at the start
 */
public record SoakResult(List<Finding> findings, Signals signals, int notReady) {
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

    /** Returns a line for each request whose treatment is not allowed. */
    public String faultLines() {
        return lines(faults());
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
        return table.append(isSound() ? "sound\n" : "NOT SOUND\n").toString();
    }

    private static void row(StringBuilder table, String name, long count) {
        table.append("%-24s %7d%n".formatted(name, count));
    }
}
