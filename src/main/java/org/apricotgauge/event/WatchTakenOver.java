package org.apricotgauge.event;

/**
 * The node began to watch the platform for its failure domain.
 *
 * @param reason why, in words
 */
public record WatchTakenOver(String reason) implements EventBody {

    /** Checks the parts. */
    public WatchTakenOver {
        reason = EventText.bounded("reason", reason);
    }
}
