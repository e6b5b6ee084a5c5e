package org.apricotgauge.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/** The {@link TargetGate}s of a VM's targets, created on first use. Thread-safe. */
final class TargetGateRegistry {
    private final ConcurrentMap<String, TargetGate> mGates = new ConcurrentHashMap<>();
    private final AdmissionConfig.SlotUse mSlotUse;
    private final Ticker mTicker;
    private final LimitReporter mLimitReporter;
    private final Runnable mOnQueued;

    /**
     * Creates a registry without gates.
     *
     * @param slotUse who else uses the targets' slots
     * @param limitReporter reports changes of the targets' rate limits
     * @param onQueued called whenever a request is queued at one of the gates
     */
    TargetGateRegistry(
            AdmissionConfig.SlotUse slotUse,
            Ticker ticker,
            LimitReporter limitReporter,
            Runnable onQueued) {
        mLimitReporter = limitReporter;
        mSlotUse = slotUse;
        mOnQueued = onQueued;
        mTicker = ticker;
    }

    /** Returns the gate of a target; a new one if its slots or address have changed. */
    TargetGate gateOf(Target target) {
        TargetGate gate = mGates.get(target.id());
        if (gate != null && gate.target().equals(target)) {
            return gate;
        }
        return mGates.compute(
                target.id(),
                (id, present) ->
                        present != null && present.target().equals(target)
                                ? present
                                : new TargetGate(
                                        target, mSlotUse, mTicker, mLimitReporter, mOnQueued));
    }

    /** Rejects requests that can't meet their deadline; returns whether any are still queued. */
    boolean expire() {
        boolean queued = false;
        for (TargetGate gate : mGates.values()) {
            gate.expire();
            queued |= gate.queued() > 0;
        }
        return queued;
    }
}
