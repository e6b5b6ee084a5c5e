package org.apricotgauge.operator.story;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Lines of all nodes that are about one thing, in the order of the nodes' times of day.
 *
 * <pre>{@code
 * Story story = new Story(Story.aboutRequest("9c41d07be2a35f68"));
 * lines.forEach(story::add);
 * story.lines();
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class Story {
    private final Predicate<StoryLine> mIsAbout;
    private final List<StoryLine> mLines = new ArrayList<>();

    Story(Predicate<StoryLine> isAbout) {
        mIsAbout = isAbout;
    }

    /** Returns whether a line is about a request, or about a call that a target made for it. */
    static Predicate<StoryLine> aboutRequest(String id) {
        return line ->
                isOrCalls(line.field("request", "id"), id)
                        || isOrCalls(line.field("run", "id"), id);
    }

    private static boolean isOrCalls(String found, String id) {
        return found.equals(id) || found.startsWith(id + '.');
    }

    /** Returns whether a line is about a target, by its registered name or the id of its run. */
    static Predicate<StoryLine> aboutTarget(String nameOrId) {
        return line ->
                line.field("target", "name").equals(nameOrId)
                        || line.field("target", "target").equals(nameOrId)
                        || isRunOf(line.field("target"), nameOrId)
                        || isRunOf(line.field("run", "target"), nameOrId)
                        || isTried(line, nameOrId);
    }

    /** Returns whether a line is about copies of a request, by their fingerprint. */
    static Predicate<StoryLine> aboutFingerprint(String fingerprint) {
        return line ->
                line.field("fingerprint").equals(fingerprint)
                        || line.field("run", "fingerprint").equals(fingerprint)
                        || isTakenAlong(line, fingerprint);
    }

    private static boolean isTakenAlong(StoryLine line, String fingerprint) {
        for (var run : line.change().path("runs")) {
            if (run.path("fingerprint").asText().equals(fingerprint)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isRunOf(String id, String nameOrId) {
        return id.equals(nameOrId) || id.startsWith(nameOrId + '_');
    }

    private static boolean isTried(StoryLine line, String nameOrId) {
        for (var step : line.change().path("request").path("steps")) {
            String id = step.asText().split(" ", 2)[0];
            if (isRunOf(id, nameOrId)) {
                return true;
            }
        }
        return false;
    }

    void add(StoryLine line) {
        if (mIsAbout.test(line)) {
            mLines.add(line);
        }
    }

    /** Returns the lines, the earliest first. */
    List<StoryLine> lines() {
        return mLines.stream().sorted(Comparator.comparing(StoryLine::time)).toList();
    }
}
