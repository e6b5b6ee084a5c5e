package org.apricotgauge.operator.story;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * How the crashes of one request became known, and what of it still ran.
 *
 * @param crashes how many targets ended while they ran it
 * @param proof when the last crash was seen that it took to hold the request
 * @param nodes how many nodes came to hold it
 * @param lastNode the last of them; empty if none did
 * @param lastHeldMillis how long after the proof it did
 * @param runsAfter runs that started after the proof
 * @param lastRunMillis how long after the proof the last of them did; 0 if there was none
 */
record CrashSummary(
        int crashes,
        Instant proof,
        int nodes,
        String lastNode,
        long lastHeldMillis,
        int runsAfter,
        long lastRunMillis) {
    private static final int PROOF = 3;

    /** Returns the summary of a request's lines, in their order; nothing without a crash. */
    static Optional<CrashSummary> of(List<StoryLine> lines) {
        List<StoryLine> crashes = withMessage(lines, "target ended");
        if (crashes.isEmpty()) {
            return Optional.empty();
        }
        Instant proof = crashes.get(Math.min(PROOF, crashes.size()) - 1).time();
        List<StoryLine> held = withMessage(lines, "RequestHeld");
        List<StoryLine> runs =
                withMessage(lines, "run started").stream()
                        .filter(line -> line.time().isAfter(proof))
                        .toList();
        return Optional.of(
                new CrashSummary(
                        crashes.size(),
                        proof,
                        (int) held.stream().map(StoryLine::node).distinct().count(),
                        held.isEmpty() ? "" : held.get(held.size() - 1).node(),
                        millisTo(held, proof),
                        runs.size(),
                        millisTo(runs, proof)));
    }

    private static List<StoryLine> withMessage(List<StoryLine> lines, String message) {
        return lines.stream().filter(line -> line.message().equals(message)).toList();
    }

    private static long millisTo(List<StoryLine> lines, Instant from) {
        return lines.isEmpty()
                ? 0
                : Duration.between(from, lines.get(lines.size() - 1).time()).toMillis();
    }

    /** Returns the summary in words. */
    String text() {
        String spread =
                nodes == 0
                        ? "held at no node"
                        : "held at %d nodes, last at %s %d ms later"
                                .formatted(nodes, lastNode, lastHeldMillis);
        return "crashed %d targets, the third (or last) known at %s; %s; %d runs started after that"
                        .formatted(crashes, proof, spread, runsAfter)
                + ", the last %d ms later%n".formatted(lastRunMillis);
    }
}
