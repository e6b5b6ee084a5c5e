package org.apricotgauge.bench;

import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.Changes;
import org.apricotgauge.decision.admission.Offer;
import org.apricotgauge.decision.admission.Result;
import org.apricotgauge.decision.admission.Ticket;

/** The part of an admission queue that the simulation drives. */
interface OverloadPolicy {

    Offer offer(Ticket ticket, long nowMillis);

    Changes release(Ticket ticket, Result result, long serviceMicros, long nowMillis);

    Changes expire(long nowMillis);

    /** Returns the queue that the nodes use. */
    static OverloadPolicy admission(int slots) {
        AdmissionQueue queue = new AdmissionQueue(AdmissionConfig.forSlots(slots));
        return new OverloadPolicy() {
            @Override
            public Offer offer(Ticket ticket, long nowMillis) {
                return queue.offer(ticket, nowMillis);
            }

            @Override
            public Changes release(Ticket ticket, Result result, long micros, long nowMillis) {
                return queue.release(ticket, result, micros, nowMillis);
            }

            @Override
            public Changes expire(long nowMillis) {
                return queue.expire(nowMillis);
            }
        };
    }
}
