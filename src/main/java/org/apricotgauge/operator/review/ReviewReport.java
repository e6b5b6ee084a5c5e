package org.apricotgauge.operator.review;

import java.util.List;
import org.apricotgauge.config.RefusalReason;

/**
 * The answer to an operator who asks what a patch would do.
 *
 * @param verdict what the fold would do with it
 * @param position position of the history that it was judged by
 * @param version version of that history
 * @param versionDigest digest of that version
 * @param author who signed the patch; empty if that could not be read
 * @param note why, as the patch says; empty if that could not be read
 * @param reasons why it would be refused; empty if it would not be
 * @param rulesVersionNeeded rules that only a newer release knows; 0 if the verdict needs none
 * @param changes what it changes; empty if it would be refused
 * @param effects what that does; nothing if it would be refused
 */
record ReviewReport(
        Verdict verdict,
        long position,
        long version,
        String versionDigest,
        String author,
        String note,
        List<RefusalReason> reasons,
        int rulesVersionNeeded,
        List<EntityChange> changes,
        Effects effects) {

    /** Copies the lists. */
    ReviewReport {
        reasons = List.copyOf(reasons);
        changes = List.copyOf(changes);
    }
}
