package org.apricotgauge.bench;

import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.AdmissionDecision;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;

/** The part of an admission queue that the simulation drives. */
interface OverloadPolicy {

    AdmissionDecision offer(Ticket ticket, long nowMillis);

    QueueChanges release(Ticket ticket, RunResult result, long serviceMicros, long nowMillis);

    QueueChanges expire(long nowMillis);

    /** Returns the queue that the nodes use. */
    static OverloadPolicy admission(int slots) {
        AdmissionQueue queue = new AdmissionQueue(AdmissionConfig.forSlots(slots));
        return new OverloadPolicy() {
            @Override
            public AdmissionDecision offer(Ticket ticket, long nowMillis) {
                return queue.offer(ticket, nowMillis);
            }

            @Override
            public QueueChanges release(
                    Ticket ticket, RunResult result, long micros, long nowMillis) {
                return queue.release(ticket, result, micros, nowMillis);
            }

            @Override
            public QueueChanges expire(long nowMillis) {
                return queue.expire(nowMillis);
            }
        };
    }
}
