package org.apricotgauge.bench;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;

/** What one simulated run counted. */
final class OverloadFigures {
    private static final double PERCENTILE = 99;
    private static final double PERCENT = 100;

    private final Map<String, Double> mGoodMicrosByMember = new HashMap<>();
    private final Map<Priority, long[]> mCounts = new HashMap<>();
    private final Histogram mUrgentMicros = new Histogram(3);
    private double mCapacityMicros;
    private double mGoodMicros;
    private long mOffered;
    private long mFull;
    private long mLate;
    private long mModestUrgentOffered;
    private long mModestUrgentGood;

    void onOffered(Ticket ticket) {
        mOffered++;
        counts(ticket.priority())[0]++;
        if (isModestUrgent(ticket)) {
            mModestUrgentOffered++;
        }
    }

    void onFull() {
        mFull++;
    }

    void onAnswered(Ticket ticket, long serviceMicros, long totalMicros, boolean inTime) {
        if (isModestUrgent(ticket)) {
            mUrgentMicros.recordValue(totalMicros);
        }
        if (!inTime) {
            mLate++;
            return;
        }
        mGoodMicros += serviceMicros;
        mGoodMicrosByMember.merge(ticket.member().id(), (double) serviceMicros, Double::sum);
        counts(ticket.priority())[1]++;
        if (isModestUrgent(ticket)) {
            mModestUrgentGood++;
        }
    }

    void setCapacityMicros(double micros) {
        mCapacityMicros = micros;
    }

    double goodputPercent() {
        return PERCENT * mGoodMicros / mCapacityMicros;
    }

    /** Returns the least of the members' shares, as a part of an equal share of the capacity. */
    double leastFairSharePercent() {
        double fairMicros = mCapacityMicros / OverloadScenario.MEMBERS.size();
        return OverloadScenario.MEMBERS.stream()
                .map(Member::id)
                .mapToDouble(id -> mGoodMicrosByMember.getOrDefault(id, 0.0))
                .map(micros -> PERCENT * micros / fairMicros)
                .min()
                .orElse(0);
    }

    /** Returns the p99 of the modest members' urgent requests, from arrival to answer. */
    double urgentP99Millis() {
        return mUrgentMicros.getValueAtPercentile(PERCENTILE) / 1_000.0;
    }

    /** Returns the share of the modest members' urgent requests that were answered in time. */
    double modestUrgentGoodPercent() {
        return PERCENT * mModestUrgentGood / Math.max(1, mModestUrgentOffered);
    }

    double goodPercent(Priority priority) {
        long[] counts = counts(priority);
        return PERCENT * counts[1] / Math.max(1, counts[0]);
    }

    /** Returns the share of requests that found no free slot at the target. */
    double fullPercent() {
        return PERCENT * mFull / Math.max(1, mOffered);
    }

    double latePercent() {
        return PERCENT * mLate / Math.max(1, mOffered);
    }

    private long[] counts(Priority priority) {
        return mCounts.computeIfAbsent(priority, unused -> new long[2]);
    }

    private static boolean isModestUrgent(Ticket ticket) {
        return ticket.priority() == Priority.URGENT && !ticket.member().id().equals("greedy");
    }
}
