package org.apricotgauge.operator.story;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * How a target's leaving spread, and what was sent to it after that.
 *
 * @param firstKnown when the first node knew that the target leaves, or that its registration ended
 * @param nodes how many nodes came to know it
 * @param lastNode the last of them
 * @param lastKnownMillis how long after the first it knew it
 * @param runsAfter requests that were sent to the target after the first node knew
 * @param lastRunMillis how long after the first word the last of them was sent; 0 if there was none
 */
record DepartureSummary(
        Instant firstKnown,
        int nodes,
        String lastNode,
        long lastKnownMillis,
        int runsAfter,
        long lastRunMillis) {
    private static final Set<String> DEPARTED = Set.of("LEAVING", "ENDED");

    /** Returns the summary of a target's lines, in their order; nothing if it did not leave. */
    static Optional<DepartureSummary> of(List<StoryLine> lines) {
        List<StoryLine> words = lines.stream().filter(DepartureSummary::isWord).toList();
        if (words.isEmpty()) {
            return Optional.empty();
        }
        Instant first = words.get(0).time();
        StoryLine last = words.get(words.size() - 1);
        List<StoryLine> runs =
                lines.stream()
                        .filter(line -> line.message().equals("run started"))
                        .filter(line -> line.time().isAfter(first))
                        .toList();
        return Optional.of(
                new DepartureSummary(
                        first,
                        (int) words.stream().map(StoryLine::node).distinct().count(),
                        last.node(),
                        millis(first, last),
                        runs.size(),
                        runs.isEmpty() ? 0 : millis(first, runs.get(runs.size() - 1))));
    }

    private static boolean isWord(StoryLine line) {
        return line.message().equals("target changed")
                && line.field("target", "from").equals("READY")
                && DEPARTED.contains(line.field("target", "to"));
    }

    private static long millis(Instant from, StoryLine to) {
        return Duration.between(from, to.time()).toMillis();
    }

    /** Returns the summary in words. */
    String text() {
        return "left: first known at %s; known to %d nodes, last to %s %d ms later; %d runs started"
                        .formatted(firstKnown, nodes, lastNode, lastKnownMillis, runsAfter)
                + " after that, the last %d ms later%n".formatted(lastRunMillis);
    }
}
