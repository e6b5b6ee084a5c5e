package org.apricotgauge.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/** The gates of a VM's targets, made when first needed. Thread-safe. */
final class TargetGateRegistry {
    private final ConcurrentMap<String, TargetGate> mGates = new ConcurrentHashMap<>();
    private final AdmissionConfig.SlotUse mSlotUse;
    private final Ticker mTicker;
    private final LimitReporter mLimitReporter;
    private final Runnable mOnQueued;

    /**
     * Creates the gates.
     *
     * @param use who else uses the targets' slots
     * @param limits takes changes of the targets' limits
     * @param onQueued runs whenever a request has to wait at one of them
     */
    TargetGateRegistry(
            AdmissionConfig.SlotUse use, Ticker ticker, LimitReporter limits, Runnable onQueued) {
        mLimitReporter = limits;
        mSlotUse = use;
        mOnQueued = onQueued;
        mTicker = ticker;
    }

    /** Returns the gate of a target; a new one if its slots or address changed. */
    TargetGate gateOf(Target target) {
        TargetGate gate = mGates.get(target.id());
        if (gate != null && gate.target().equals(target)) {
            return gate;
        }
        return mGates.compute(
                target.id(),
                (id, old) ->
                        old != null && old.target().equals(target)
                                ? old
                                : new TargetGate(
                                        target, mSlotUse, mTicker, mLimitReporter, mOnQueued));
    }

    /** Refuses what can't be served in time any more; returns whether requests still wait. */
    boolean expire() {
        boolean queued = false;
        for (TargetGate gate : mGates.values()) {
            gate.expire();
            queued |= gate.queued() > 0;
        }
        return queued;
    }
}
