package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A version of the configuration came into force at the node.
 *
 * @param version the version
 * @param digest digest chained over all versions up to it
 * @param listPosition place in the platform's list of patches
 */
public record VersionInForce(long version, String digest, long listPosition) implements EventBody {

    /** Checks the parts. */
    public VersionInForce {
        Checks.inRange("version", version, 0, Long.MAX_VALUE);
        digest = EventText.bounded("digest", digest);
        Checks.inRange("listPosition", listPosition, 0, Long.MAX_VALUE);
    }
}
