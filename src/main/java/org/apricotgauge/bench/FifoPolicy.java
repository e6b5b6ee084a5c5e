package org.apricotgauge.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apricotgauge.decision.admission.AdmissionDecision;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.decision.admission.Rejection;
import org.apricotgauge.decision.admission.RejectionReason;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;

/** The baseline: a fixed limit and one bounded FIFO; knows neither members nor deadlines. */
final class FifoPolicy implements OverloadPolicy {
    private final int mSlots;
    private final int mMaxQueued;
    private final Deque<Ticket> mQueue = new ArrayDeque<>();
    private int mRunning;

    FifoPolicy(int slots, int maxQueued) {
        mSlots = slots;
        mMaxQueued = maxQueued;
    }

    @Override
    public AdmissionDecision offer(Ticket ticket, long nowMillis) {
        if (mRunning < mSlots) {
            mRunning++;
            return new AdmissionDecision.Admitted();
        }
        if (mQueue.size() >= mMaxQueued) {
            return new AdmissionDecision.Rejected(
                    new Rejection(ticket, RejectionReason.QUEUE_FULL, 1));
        }
        mQueue.add(ticket);
        return new AdmissionDecision.Queued(List.of());
    }

    @Override
    public QueueChanges release(
            Ticket ticket, RunResult result, long serviceMicros, long nowMillis) {
        Ticket next = mQueue.poll();
        if (next == null) {
            mRunning--;
            return QueueChanges.NONE;
        }
        return new QueueChanges(List.of(next), List.of());
    }

    @Override
    public QueueChanges expire(long nowMillis) {
        return QueueChanges.NONE;
    }
}
