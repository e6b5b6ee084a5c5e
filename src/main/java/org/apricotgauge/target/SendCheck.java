package org.apricotgauge.target;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.health.HealthGate;

/**
 * Decides whether a request may be sent to its target: once it has a slot, and again just before
 * its first byte is written.
 *
 * <pre>{@code
 * NotRunReason rejection = check.checkAdmitted(targetRestriction, retryCharge); // null if none
 * }</pre>
 */
final class SendCheck {
    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;
    private final StopCheck mStopCheck;

    SendCheck(GuardContext context, TargetGate gate, RunIdentity identity, StopCheck stopCheck) {
        mContext = context;
        mGate = gate;
        mIdentity = identity;
        mStopCheck = stopCheck;
    }

    /**
     * Returns why a request that holds a slot may not be sent, or null if it may.
     *
     * @param targetRestriction which targets the request may go to
     * @param retryCharge charges the retry budget if the request is a retry
     */
    NotRunReason checkAdmitted(
            HealthGate.TargetRestriction targetRestriction, RetryCharge retryCharge) {
        NotRunReason rejection = checkTarget();
        if (rejection != null) {
            return rejection;
        }
        if (!mGate.health().mayStart(targetRestriction, mContext.ticker().millis())) {
            return NotRunReason.TARGET_SUSPECT;
        }
        return retryCharge.tryCharge() ? null : NotRunReason.RETRIES_SPENT;
    }

    /**
     * Returns why no byte of a request may be written, or null after recording its start.
     *
     * <p>The checks are repeated because the state may have changed while the request waited for a
     * connection. The target may have announced that it is leaving, and would receive the request
     * after it has stopped serving. The request may have been quarantined because a third target
     * crashed while it ran a duplicate of it. The node may have begun to stop. A fence may have
     * been answered with "not run".
     */
    NotRunReason checkBeforeFirstByte(Attempt attempt) {
        NotRunReason rejection = checkTarget();
        if (rejection != null) {
            return rejection;
        }
        if (mContext.quarantine().remainingQuarantineMillis(mIdentity.fingerprint()) > 0) {
            return NotRunReason.QUARANTINED;
        }
        if (mIdentity.isUnidentified(mContext.quarantine())) {
            return NotRunReason.BODY_UNREAD;
        }
        return mContext.ledger().started(attempt) ? null : NotRunReason.FENCED;
    }

    private NotRunReason checkTarget() {
        if (!mContext.observer().isSiteViewFresh()) {
            return NotRunReason.STATE_UNCONFIRMED;
        }
        if (!mStopCheck.canEnd()) {
            return NotRunReason.LEAVING;
        }
        return mContext.acceptsRequests().test(mGate.target()) ? null : NotRunReason.TARGET_LEAVING;
    }
}
