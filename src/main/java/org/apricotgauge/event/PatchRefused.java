package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A patch was refused as a whole.
 *
 * @param patch id of the patch
 * @param appliesToVersion version that the patch names
 * @param currentVersion version in force
 * @param reason why, in words
 */
public record PatchRefused(String patch, long appliesToVersion, long currentVersion, String reason)
        implements EventBody {

    /** Checks the parts. */
    public PatchRefused {
        patch = EventText.bounded("patch", patch);
        Checks.inRange("appliesToVersion", appliesToVersion, 0, Long.MAX_VALUE);
        Checks.inRange("currentVersion", currentVersion, 0, Long.MAX_VALUE);
        reason = EventText.bounded("reason", reason);
    }
}
