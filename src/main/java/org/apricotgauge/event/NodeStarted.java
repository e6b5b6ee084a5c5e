package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A node began to run.
 *
 * @param failureDomain failure domain of its VM
 * @param release release of the program
 */
public record NodeStarted(String failureDomain, String release) implements EventBody {

    /** Checks the parts. */
    public NodeStarted {
        Checks.id("failureDomain", failureDomain);
        release = EventText.bounded("release", release);
    }
}
