package org.apricotgauge.http;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.StartLimit;

/**
 * What a target says of itself with an answer.
 *
 * @param leaving whether it says that it leaves
 * @param limit how many requests a second it takes; nothing if it names no limit
 * @param unreadable what it names as a limit that can't be read; nothing if all can be
 */
public record TargetNotice(
        boolean leaving, Optional<StartLimit> limit, Optional<String> unreadable) {
    private static final String LEAVING_VALUE = "1";

    /**
     * Reads what two headers of an answer say.
     *
     * @param leaving value of the one that tells of leaving; null if it is absent
     * @param limits values of the one that names limits
     */
    public static TargetNotice of(String leaving, List<String> limits) {
        boolean leaves = LEAVING_VALUE.equals(leaving);
        if (limits.isEmpty()) {
            return new TargetNotice(leaves, Optional.empty(), Optional.empty());
        }
        try {
            StartLimit limit = StartLimit.parse(limits);
            return new TargetNotice(leaves, Optional.of(limit), Optional.empty());
        } catch (IllegalArgumentException e) {
            return new TargetNotice(leaves, Optional.empty(), Optional.of(limits.toString()));
        }
    }
}
