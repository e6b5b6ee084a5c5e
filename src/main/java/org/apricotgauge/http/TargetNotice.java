package org.apricotgauge.http;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.StartLimit;

/**
 * What a target says of itself with an answer.
 *
 * @param limit how many requests a second it takes; nothing if it names no limit
 * @param unreadable what it names as a limit that can't be read; nothing if all can be
 */
public record TargetNotice(Optional<StartLimit> limit, Optional<String> unreadable) {

    /** Reads what the header of that name says. */
    public static TargetNotice ofLimits(List<String> values) {
        if (values.isEmpty()) {
            return new TargetNotice(Optional.empty(), Optional.empty());
        }
        try {
            return new TargetNotice(Optional.of(StartLimit.parse(values)), Optional.empty());
        } catch (IllegalArgumentException e) {
            return new TargetNotice(Optional.empty(), Optional.of(values.toString()));
        }
    }
}
