package org.apricotgauge.config;

import org.apricotgauge.model.Checks;

/**
 * Where a history stands, without its configuration.
 *
 * @param position position of the last entry folded
 * @param version how many patches took effect
 * @param rulesVersion version of the rules in force
 * @param logDigest chained over all entries and their verdicts
 * @param versionDigest chained over the patches that took effect and what came of them
 */
public record HistoryMark(
        long position, long version, int rulesVersion, Digest logDigest, Digest versionDigest) {

    /** Checks the parts. */
    public HistoryMark {
        Checks.inRange("position", position, 0, Long.MAX_VALUE);
        Checks.inRange("version", version, 0, position);
        Checks.inRange("rulesVersion", rulesVersion, Rules.FIRST, Integer.MAX_VALUE);
        Checks.notNull("logDigest", logDigest);
        Checks.notNull("versionDigest", versionDigest);
    }
}
