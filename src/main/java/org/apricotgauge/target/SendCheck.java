package org.apricotgauge.target;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.health.HealthGate;

/**
 * Decides whether a request may be sent to its target: once it has a slot, and again just before
 * its first byte.
 *
 * <pre>{@code
 * NotRunReason refused = check.atSlot(caution, pass);   // null if it may be sent
 * }</pre>
 */
final class SendCheck {
    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;

    SendCheck(GuardContext context, TargetGate gate, RunIdentity identity) {
        mContext = context;
        mGate = gate;
        mIdentity = identity;
    }

    /**
     * Returns why a request that has its slot may not be sent, or null if it may.
     *
     * @param caution how much of a risk it may run
     * @param pass pays for it if it was sent before
     */
    NotRunReason checkAdmitted(HealthGate.RiskTolerance caution, RetryCharge pass) {
        NotRunReason unfit = checkTarget();
        if (unfit != null) {
            return unfit;
        }
        if (!mGate.health().mayStart(caution, mContext.ticker().millis())) {
            return NotRunReason.TARGET_SUSPECT;
        }
        return pass.tryCharge() ? null : NotRunReason.RETRIES_SPENT;
    }

    /**
     * Returns why no byte of a request may be written, or null if it starts.
     *
     * <p>Since the slot was given, while the request waited for a connection, the target may have
     * said that it leaves, and would get work after the time for which it serves on; the third
     * target may have ended under another copy of the request; or a fence was answered "not run".
     */
    NotRunReason checkBeforeFirstByte(Attempt attempt) {
        NotRunReason unfit = checkTarget();
        if (unfit != null) {
            return unfit;
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
        return mContext.acceptsRequests().test(mGate.target()) ? null : NotRunReason.TARGET_LEAVING;
    }
}
