package org.apricotgauge.functional.attempt;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.SubmissionProgress;

/** One request of a caller: what its entry does for it, and what the oracle knows of it. */
final class Submission {
    final int mId;
    final boolean mRepeatable;
    final IdempotencyKey mKey;
    final long mDeadlineMillis;
    final List<Outcome> mTold = new ArrayList<>();
    SubmissionProgress mProgress;
    Exchange mCurrent;
    Exchange mPinned;
    boolean mFencing;
    int mRuns;

    Submission(int id, boolean repeatable, IdempotencyKey key, long deadlineMillis) {
        mId = id;
        mRepeatable = repeatable;
        mKey = key;
        mDeadlineMillis = deadlineMillis;
        mProgress = SubmissionProgress.of(repeatable, key != null);
    }

    boolean isOpen() {
        return mTold.isEmpty();
    }

    /** One attempt, written once, to one guard. */
    record Exchange(Submission submission, Attempt attempt, int guard) {}
}
