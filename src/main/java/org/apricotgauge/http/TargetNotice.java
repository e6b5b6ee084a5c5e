package org.apricotgauge.http;

import java.util.List;
import java.util.Optional;
import org.apricotgauge.model.StartLimit;

/**
 * What a target reports about itself in a response.
 *
 * @param leaving whether it announces that it is leaving
 * @param limit how many requests per second it accepts; empty if it declares no limit
 * @param unreadable the declared limits if they cannot be read; empty if they can be read or are
 *     absent
 */
public record TargetNotice(
        boolean leaving, Optional<StartLimit> limit, Optional<String> unreadable) {
    private static final String LEAVING_VALUE = "1";

    /**
     * Reads the notice from two headers of a response.
     *
     * @param leaving value of the header that announces leaving; null if it is absent
     * @param limits values of the header that declares limits
     */
    public static TargetNotice of(String leaving, List<String> limits) {
        boolean isLeaving = LEAVING_VALUE.equals(leaving);
        if (limits.isEmpty()) {
            return new TargetNotice(isLeaving, Optional.empty(), Optional.empty());
        }
        try {
            StartLimit limit = StartLimit.parse(limits);
            return new TargetNotice(isLeaving, Optional.of(limit), Optional.empty());
        } catch (IllegalArgumentException e) {
            return new TargetNotice(isLeaving, Optional.empty(), Optional.of(limits.toString()));
        }
    }
}
