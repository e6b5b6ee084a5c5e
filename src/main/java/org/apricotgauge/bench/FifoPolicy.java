package org.apricotgauge.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.apricotgauge.decision.admission.Changes;
import org.apricotgauge.decision.admission.Offer;
import org.apricotgauge.decision.admission.Refusal;
import org.apricotgauge.decision.admission.RefusalReason;
import org.apricotgauge.decision.admission.Result;
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
    public Offer offer(Ticket ticket, long nowMillis) {
        if (mRunning < mSlots) {
            mRunning++;
            return new Offer.Admitted();
        }
        if (mQueue.size() >= mMaxQueued) {
            return new Offer.Refused(new Refusal(ticket, RefusalReason.QUEUE_FULL, 1));
        }
        mQueue.add(ticket);
        return new Offer.Queued(List.of());
    }

    @Override
    public Changes release(Ticket ticket, Result result, long serviceMicros, long nowMillis) {
        Ticket next = mQueue.poll();
        if (next == null) {
            mRunning--;
            return Changes.NONE;
        }
        return new Changes(List.of(next), List.of());
    }

    @Override
    public Changes expire(long nowMillis) {
        return Changes.NONE;
    }
}
