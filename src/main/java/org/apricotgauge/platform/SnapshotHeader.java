package org.apricotgauge.platform;

import org.apricotgauge.model.Checks;

/**
 * Describes the newest published snapshot.
 *
 * @param position last log position that the snapshot holds; 0 if there is no snapshot
 * @param chunks number of chunks, each under 1 MB
 */
public record SnapshotHeader(long position, int chunks) {
    /** What the platform answers while nothing is published. */
    public static final SnapshotHeader NONE = new SnapshotHeader(0, 0);

    /** Checks the parts. */
    public SnapshotHeader {
        Checks.inRange("position", position, 0, Long.MAX_VALUE);
        Checks.inRange("chunks", chunks, 0, Integer.MAX_VALUE);
    }
}
