package org.apricotgauge.decision.admission;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.apricotgauge.model.Priority;

/**
 * The queued tickets of one member and the service that it has received.
 *
 * <p>Within a priority class, nested calls are served first, because each blocks a request that
 * holds a slot elsewhere until the call ends. Then come the tickets that can meet their soft
 * deadline, and then the others, each by earliest deadline. Equal deadlines are served in the order
 * of arrival.
 */
final class Flow {
    private static final List<Priority> CLASSES = List.of(Priority.values());

    // A lower class that was passed over this many times is served next, so that the urgent
    // requests of a member cannot starve its patient ones.
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
     * The order of a ticket within its class.
     *
     * @param nestedCall whether a request that holds a slot elsewhere waits for this one
     * @param onTime whether the request is expected to finish by its soft deadline
     * @param dueMillis the soft deadline if it can be met, else the deadline
     * @param sequence number in the order of arrival
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

    Flow(String name, long sequence, double virtualTimeMicros) {
        mName = name;
        mSequence = sequence;
        mVirtualTimeMicros = virtualTimeMicros;
    }

    /** Returns a list with a new element for each priority class. */
    static <T> List<T> listPerClass(Supplier<T> factory) {
        return CLASSES.stream().map(priority -> factory.get()).toList();
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

    /** Returns the virtual time of the flow: the service received, divided by the weight. */
    double virtualTimeMicros() {
        return mVirtualTimeMicros;
    }

    void raiseVirtualTime(double virtualTimeMicros) {
        mVirtualTimeMicros = Math.max(mVirtualTimeMicros, virtualTimeMicros);
    }

    void charge(double serviceMicros) {
        mVirtualTimeMicros += serviceMicros / mWeight;
    }

    double backlogPerWeight() {
        return (double) mQueued / mWeight;
    }

    void add(SortKey sortKey, Ticket ticket) {
        mWaitingByClass.get(ticket.priority().ordinal()).add(sortKey);
        mQueued++;
    }

    boolean remove(SortKey sortKey, Ticket ticket) {
        boolean removed = mWaitingByClass.get(ticket.priority().ordinal()).remove(sortKey);
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

    /** Returns the most urgent class with a queued ticket; the flow must not be empty. */
    Priority mostUrgent() {
        for (Priority priority : CLASSES) {
            if (!mWaitingByClass.get(priority.ordinal()).isEmpty()) {
                return priority;
            }
        }
        throw new IllegalStateException("flow is empty: " + mName);
    }

    /** Returns the sequence of the last ticket of the least urgent class that is queued. */
    long lastSequence() {
        for (int i = CLASSES.size() - 1; i >= 0; i--) {
            if (!mWaitingByClass.get(i).isEmpty()) {
                return mWaitingByClass.get(i).last().sequence();
            }
        }
        throw new IllegalStateException("flow is empty: " + mName);
    }

    /** Selects the ticket to serve next and counts how often each lower class is passed over. */
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
