package org.apricotgauge.operator.review;

import java.io.IOException;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.config.FoldResult;
import org.apricotgauge.config.LogEntry;

/** Folds entries that must all be there; used by one thread. */
final class HistoryBuilder {
    private ConfigHistory mHistory;

    HistoryBuilder(ConfigHistory history) {
        mHistory = history;
    }

    void add(LogEntry entry) throws IOException {
        FoldResult result = mHistory.apply(entry);
        if (result instanceof FoldResult.OutOfOrder gap) {
            throw new IOException(
                    "the list has position "
                            + gap.position()
                            + " where "
                            + gap.expectedPosition()
                            + " should follow");
        }
        if (result instanceof FoldResult.UnsupportedRules rules) {
            throw new IOException(
                    "position "
                            + rules.position()
                            + " needs rules version "
                            + rules.rulesVersion()
                            + "; use a newer release of this program");
        }
        mHistory = result.history();
    }

    ConfigHistory history() {
        return mHistory;
    }
}
