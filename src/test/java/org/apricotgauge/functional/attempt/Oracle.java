package org.apricotgauge.functional.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.functional.attempt.Submission.Exchange;

/** Knows what ran, how often, and what each caller was told; knows nothing of how. */
final class Oracle {
    static final Map<String, Integer> COUNTS = new TreeMap<>();

    final List<Submission> mSubmissions = new ArrayList<>();
    private final Map<IdempotencyKey, Long> mLastStartMillis = new HashMap<>();

    void count(String what) {
        COUNTS.merge(what, 1, Integer::sum);
    }

    void onStarted(Exchange exchange, long guardMillis) {
        Submission submission = exchange.submission();
        if (submission.mKey == null) {
            return;
        }
        Long before = mLastStartMillis.put(submission.mKey, guardMillis);
        require(
                before == null || guardMillis - before >= GuardModel.KEYS.retentionMillis(),
                "a key started twice within the retention");
    }

    void onRun(Exchange exchange) {
        Submission submission = exchange.submission();
        submission.mRuns++;
        count("run");
        require(
                submission.mRepeatable || submission.mRuns <= 1,
                "a request that must not repeat ran twice");
        checkNotRun(submission);
    }

    void onAnswer(Submission submission, int answerOf) {
        Submission source = mSubmissions.get(answerOf);
        boolean own = source == submission;
        boolean replayed = submission.mKey != null && submission.mKey.equals(source.mKey);
        require(own || replayed, "a caller got another's answer");
        require(source.mRuns > 0, "an answer without a run");
    }

    void onTold(Submission submission, Outcome outcome) {
        submission.mTold.add(outcome);
        require(submission.mTold.size() == 1, "a caller was told twice");
        count("told " + outcome.getClass().getSimpleName());
        checkNotRun(submission);
    }

    /** Once nothing is under way any more. */
    void atEnd() {
        for (Submission submission : mSubmissions) {
            require(submission.mTold.size() == 1, "a caller was not told");
        }
    }

    void require(boolean holds, String broken) {
        if (!holds) {
            throw new AssertionError(broken);
        }
    }

    private void checkNotRun(Submission submission) {
        boolean toldNotRun = submission.mTold.stream().anyMatch(Outcome.NotRun.class::isInstance);
        require(!toldNotRun || submission.mRuns == 0, "told \"not run\", and it ran");
    }
}
