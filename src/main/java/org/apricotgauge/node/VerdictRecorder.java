package org.apricotgauge.node;

import org.apricotgauge.decision.detection.EjectionVerdict;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.event.FloorReached;
import org.apricotgauge.event.TargetEjected;
import org.apricotgauge.event.TargetReadmitted;
import org.apricotgauge.operator.OutcomeKind;
import org.apricotgauge.operator.OutcomeWindows;

/** Records the difference between two decisions as events and counts. */
final class VerdictRecorder {
    private final NodeEvents mEvents;
    private final OutcomeWindows mWindows;

    VerdictRecorder(NodeEvents events, OutcomeWindows windows) {
        mEvents = events;
        mWindows = windows;
    }

    void record(String service, EjectionVerdicts before, EjectionVerdicts after) {
        for (EjectionVerdict verdict : after.byTarget().values()) {
            EjectionVerdict old = before == null ? null : before.byTarget().get(verdict.targetId());
            boolean wasEjected = old != null && !old.isEligible();
            if (!wasEjected && !verdict.isEligible()) {
                mWindows.count(service, OutcomeKind.EJECTED);
                mEvents.record(new TargetEjected(service, verdict.targetId(), verdict.evidence()));
            } else if (wasEjected && verdict.isEligible()) {
                mEvents.record(
                        new TargetReadmitted(service, verdict.targetId(), verdict.evidence()));
            }
            boolean wasKept = old != null && old.keptByFloor();
            if (verdict.keptByFloor() && !wasKept) {
                mEvents.record(
                        new FloorReached(
                                service,
                                verdict.targetId(),
                                after.floorSlots(),
                                after.eligibleSlots()));
            }
        }
    }
}
