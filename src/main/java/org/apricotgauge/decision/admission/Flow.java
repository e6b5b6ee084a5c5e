package org.apricotgauge.decision.admission;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.apricotgauge.model.Priority;

/**
 * One member's waiting tickets and its account of service.
 *
 * <p>Within a class, the calls of running requests go first: each of them holds a slot elsewhere
 * that comes free once its call has ended. Then goes what can be of full use before what cannot,
 * and the earliest due; where all have the same time, that is the order of arrival.
 */
final class Flow {
    private static final List<Priority> CLASSES = List.of(Priority.values());

    // A lower class that was passed over so often is served next, lest a member's urgent work
    // starve its own patient work for ever.
    private static final int MAX_TIMES_PASSED_OVER = 8;

    private final String mName;
    private final long mSequence;
    private final List<TreeSet<SortKey>> mWaitingByClass = listPerClass(TreeSet::new);
    private final int[] mTimesPassedOver = new int[CLASSES.size()];
    private int mWeight;
    private int mQueued;
    private int mInFlight;
    private double mVirtualTimeMicros;

    /**
     * A ticket's place in its class.
     *
     * @param nestedCall whether a request that holds a slot somewhere waits for it
     * @param onTime whether it can end in time to be of full use
     * @param dueMillis until when it can be of full use, or of any
     * @param sequence when it came
     */
    record SortKey(boolean nestedCall, boolean onTime, long dueMillis, long sequence)
            implements Comparable<SortKey> {
        private static final Comparator<SortKey> ORDER =
                Comparator.comparing(SortKey::nestedCall, Comparator.reverseOrder())
                        .thenComparing(SortKey::onTime, Comparator.reverseOrder())
                        .thenComparingLong(SortKey::dueMillis)
                        .thenComparingLong(SortKey::sequence);

        @Override
        public int compareTo(SortKey other) {
            return ORDER.compare(this, other);
        }
    }

    Flow(String name, long sequence, double servedMicros) {
        mName = name;
        mSequence = sequence;
        mVirtualTimeMicros = servedMicros;
    }

    /** Returns a list that holds something of its own for each class. */
    static <T> List<T> listPerClass(Supplier<T> maker) {
        return CLASSES.stream().map(priority -> maker.get()).toList();
    }

    String name() {
        return mName;
    }

    long sequence() {
        return mSequence;
    }

    int weight() {
        return mWeight;
    }

    void setWeight(int weight) {
        mWeight = weight;
    }

    int queued() {
        return mQueued;
    }

    int queued(Priority lowest) {
        int count = 0;
        for (int i = 0; i <= lowest.ordinal(); i++) {
            count += mWaitingByClass.get(i).size();
        }
        return count;
    }

    boolean isIdle() {
        return mQueued == 0 && mInFlight == 0;
    }

    /** Returns the service received, divided by the weight: the flow's virtual time. */
    double virtualTimeMicros() {
        return mVirtualTimeMicros;
    }

    void raiseVirtualTime(double virtualMicros) {
        mVirtualTimeMicros = Math.max(mVirtualTimeMicros, virtualMicros);
    }

    void charge(double micros) {
        mVirtualTimeMicros += micros / mWeight;
    }

    double backlogPerWeight() {
        return (double) mQueued / mWeight;
    }

    void add(SortKey place, Ticket ticket) {
        mWaitingByClass.get(ticket.priority().ordinal()).add(place);
        mQueued++;
    }

    boolean remove(SortKey place, Ticket ticket) {
        boolean removed = mWaitingByClass.get(ticket.priority().ordinal()).remove(place);
        if (removed) {
            mQueued--;
        }
        return removed;
    }

    void onDispatched() {
        mInFlight++;
    }

    void onReleased() {
        mInFlight--;
    }

    /** Returns the most urgent class that waits; the flow must not be empty. */
    Priority mostUrgent() {
        for (Priority priority : CLASSES) {
            if (!mWaitingByClass.get(priority.ordinal()).isEmpty()) {
                return priority;
            }
        }
        throw new IllegalStateException("flow is empty: " + mName);
    }

    /** Returns the sequence of the last ticket of the least urgent class that waits. */
    long lastSequence() {
        for (int i = CLASSES.size() - 1; i >= 0; i--) {
            if (!mWaitingByClass.get(i).isEmpty()) {
                return mWaitingByClass.get(i).last().sequence();
            }
        }
        throw new IllegalStateException("flow is empty: " + mName);
    }

    /** Picks the ticket to serve next and counts whom it passed over. */
    long pickSequence() {
        int chosen = mostUrgent().ordinal();
        for (int i = CLASSES.size() - 1; i > chosen; i--) {
            if (mTimesPassedOver[i] >= MAX_TIMES_PASSED_OVER && !mWaitingByClass.get(i).isEmpty()) {
                chosen = i;
                break;
            }
        }
        for (int i = chosen + 1; i < CLASSES.size(); i++) {
            mTimesPassedOver[i] = mWaitingByClass.get(i).isEmpty() ? 0 : mTimesPassedOver[i] + 1;
        }
        mTimesPassedOver[chosen] = 0;
        return mWaitingByClass.get(chosen).first().sequence();
    }
}
