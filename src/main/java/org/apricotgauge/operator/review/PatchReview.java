package org.apricotgauge.operator.review;

import java.util.List;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;
import org.apricotgauge.config.Patch;
import org.apricotgauge.config.PatchCodec;
import org.apricotgauge.config.RefusalReason;
import org.apricotgauge.model.Configuration;

/**
 * Judges one patch as the next entry of a history, with the fold that the nodes use.
 *
 * <pre>{@code
 * ReviewReport report = PatchReview.review(history, body);
 * }</pre>
 */
final class PatchReview {

    private PatchReview() {}

    static ReviewReport review(ConfigHistory history, String body) {
        FoldResult result = history.apply(new LogEntry(history.position() + 1, body));
        if (result instanceof FoldResult.Accepted accepted) {
            return accepted(history, accepted);
        }
        if (result instanceof FoldResult.Refused refused) {
            return notAccepted(history, body, Verdict.REFUSED, refused.reasons(), 0);
        }
        if (result instanceof FoldResult.UnsupportedRules rules) {
            return notAccepted(history, body, Verdict.UNDECIDED, List.of(), rules.rulesVersion());
        }
        throw new IllegalStateException("the next position was out of order: " + result);
    }

    private static ReviewReport accepted(ConfigHistory history, FoldResult.Accepted accepted) {
        Configuration before = history.configuration();
        Configuration after = accepted.history().configuration();
        List<EntityChange> changes = new PatchDiff(before, after).changes(accepted.patch());
        return report(
                history,
                accepted.patch(),
                Verdict.ACCEPTED,
                List.of(),
                0,
                changes,
                Effects.of(changes, before, after));
    }

    private static ReviewReport notAccepted(
            ConfigHistory history,
            String body,
            Verdict verdict,
            List<RefusalReason> reasons,
            int rulesVersion) {
        Patch patch = PatchCodec.decode(body) instanceof PatchCodec.Decoded d ? d.patch() : null;
        return report(history, patch, verdict, reasons, rulesVersion, List.of(), Effects.NONE);
    }

    private static ReviewReport report(
            ConfigHistory history,
            Patch patch,
            Verdict verdict,
            List<RefusalReason> reasons,
            int rulesVersion,
            List<EntityChange> changes,
            Effects effects) {
        return new ReviewReport(
                verdict,
                history.position(),
                history.version(),
                history.versionDigest().toString(),
                patch == null ? "" : patch.author(),
                patch == null ? "" : patch.note(),
                reasons,
                rulesVersion,
                changes,
                effects);
    }
}
