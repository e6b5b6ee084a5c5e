package org.apricotgauge.event;

/**
 * The node ceased to watch the platform.
 *
 * @param reason why, in words
 */
public record WatchReleased(String reason) implements EventBody {

    /** Checks the parts. */
    public WatchReleased {
        reason = EventText.bounded("reason", reason);
    }
}
