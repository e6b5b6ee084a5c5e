package org.apricotgauge.decision.quarantine;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * Which requests are kept from targets because they crash whatever runs them.
 *
 * <pre>{@code
 * table.crashed(List.of(first, second), crashId);   // a target ended under these two
 * table.endedWell(second);                          // the second one has proved innocent
 * long millis = table.heldMillis(first);            // 0 if it may run
 * }</pre>
 *
 * <p>A target that ends takes all its requests along, so that most of those that were at work are
 * innocent. A request is held after {@link CrashRecord#QUARANTINE_CRASHES} crashes of which none
 * was preceded or followed by a run that ended well. Memory is bounded; a request that is held is
 * never forgotten for the sake of a newcomer. Thread-safe; a reader on a request's path takes no
 * lock.
 */
public final class QuarantineTable {
    /** Requests of which crashes are remembered. */
    static final int MAX_RECORDS = 1_024;

    /** A run that ended well clears its request of crashes up to so much later. */
    static final long CLEARED_AFTER_SUCCESS_MILLIS = 60_000;

    /** Requests that ended well of which that is remembered. */
    private static final int MAX_SUCCESSES = 4_096;

    private final Ticker mTicker;
    private final QuarantineListener mListener;
    private final Cache<Fingerprint, Long> mSuccesses;
    private final Map<Fingerprint, CrashRecord> mRecords = new HashMap<>();
    private volatile View mView = View.EMPTY;

    /** What readers see. */
    private record View(
            Map<Fingerprint, CrashRecord> quarantined,
            Set<Long> quarantinedHeads,
            Set<Long> suspectHeads) {
        static final View EMPTY = new View(Map.of(), Set.of(), Set.of());
    }

    /**
     * A record with the request that it is about.
     *
     * @param fingerprint the request
     * @param record its crashes
     */
    public record Entry(Fingerprint fingerprint, CrashRecord record) {}

    private record Change(Fingerprint fingerprint, CrashRecord before, CrashRecord after) {}

    /** Creates an empty table. */
    public QuarantineTable(Ticker ticker, QuarantineListener listener) {
        mTicker = Checks.notNull("ticker", ticker);
        mListener = Checks.notNull("listener", listener);
        mSuccesses =
                Caffeine.newBuilder()
                        .maximumSize(MAX_SUCCESSES)
                        .expireAfterWrite(CLEARED_AFTER_SUCCESS_MILLIS, TimeUnit.MILLISECONDS)
                        .ticker(ticker::nanos)
                        .executor(Runnable::run)
                        .build();
    }

    /** Returns how long the request is still kept from targets, in milliseconds; 0 if it is not. */
    public long remainingQuarantineMillis(Fingerprint fingerprint) {
        CrashRecord record = mView.quarantined().get(fingerprint);
        return record == null ? 0 : Math.max(0, record.quarantinedUntilMillis() - mTicker.millis());
    }

    /** Returns whether a request with this head is held, so that the body must be known. */
    public boolean isQuarantinedHead(long head) {
        return mView.quarantinedHeads().contains(head);
    }

    /** Returns whether a request with this head was at work in a crash. */
    public boolean isSuspectHead(long head) {
        return mView.suspectHeads().contains(head);
    }

    /** Returns how many requests are held. */
    public int quarantinedCount() {
        return mView.quarantined().size();
    }

    /** Returns of how many requests crashes are remembered. */
    public synchronized int size() {
        return mRecords.size();
    }

    /** Takes in that a target ended while it ran these requests. */
    public void recordCrash(Collection<Fingerprint> requests, long crashId) {
        Crash crash = new Crash(crashId, mTicker.millis());
        CrashRecord once = CrashRecord.NONE.with(crash);
        update(requests.stream().distinct().map(one -> new Entry(one, once)).toList(), true);
    }

    /** Takes in that a run of the request ended well. */
    public void recordSuccess(Fingerprint fingerprint) {
        if (!fingerprint.isComplete()) {
            return;
        }
        long clearedUntilMillis = mTicker.millis() + CLEARED_AFTER_SUCCESS_MILLIS;
        mSuccesses.put(fingerprint, clearedUntilMillis);
        if (mView.suspectHeads().contains(fingerprint.head()) && hasCrashes(fingerprint)) {
            update(fingerprint, CrashRecord.NONE.withClearedUntil(clearedUntilMillis), true);
        }
    }

    private synchronized boolean hasCrashes(Fingerprint fingerprint) {
        CrashRecord record = mRecords.get(fingerprint);
        return record != null && !record.crashes().isEmpty();
    }

    /** Lets a request through again; returns false if nothing is held against it. */
    public boolean release(Fingerprint fingerprint) {
        boolean known = hasCrashes(fingerprint);
        if (known) {
            update(fingerprint, CrashRecord.NONE.withClearedUntil(mTicker.millis()), true);
        }
        return known;
    }

    /**
     * Takes in what another node knows.
     *
     * @param isNews whether the other node tells it since it is new
     */
    public void merge(List<Entry> told, boolean isNews) {
        long nowMillis = mTicker.millis();
        update(
                told.stream()
                        .filter(entry -> entry.record().expiresAtMillis() > nowMillis)
                        .toList(),
                isNews);
    }

    /** Lets requests through that were held for long enough, and forgets what is long past. */
    public void expire() {
        long nowMillis = mTicker.millis();
        Set<Fingerprint> before = mView.quarantined().keySet();
        synchronized (this) {
            boolean isOver =
                    mView.quarantined().keySet().stream()
                            .anyMatch(one -> remainingQuarantineMillis(one) == 0);
            boolean isForgotten =
                    mRecords.values().removeIf(record -> record.expiresAtMillis() <= nowMillis);
            if (!isOver && !isForgotten) {
                return;
            }
            rebuildView();
        }
        Set<Fingerprint> after = mView.quarantined().keySet();
        before.stream().filter(one -> !after.contains(one)).forEach(mListener::released);
    }

    private void update(Fingerprint fingerprint, CrashRecord told, boolean isNews) {
        update(List.of(new Entry(fingerprint, told)), isNews);
    }

    private void update(List<Entry> told, boolean isNews) {
        List<Change> changes = new ArrayList<>();
        boolean isFull = false;
        synchronized (this) {
            for (Entry entry : told) {
                CrashRecord before = record(entry.fingerprint());
                CrashRecord after =
                        withLocalSuccess(entry.fingerprint(), before.merge(entry.record()));
                if (after.equals(before)) {
                    continue;
                }
                if (before == CrashRecord.NONE && !makeRoom()) {
                    isFull = true;
                    continue;
                }
                mRecords.put(entry.fingerprint(), after);
                changes.add(new Change(entry.fingerprint(), before, after));
            }
            if (!changes.isEmpty()) {
                rebuildView();
            }
        }
        changes.forEach(change -> notifyListener(change, isNews));
        if (isFull) {
            mListener.tableFull();
        }
    }

    // This node may have seen a run end well before anybody heard of a crash.
    private CrashRecord withLocalSuccess(Fingerprint fingerprint, CrashRecord record) {
        Long clearedUntilMillis = mSuccesses.getIfPresent(fingerprint);
        return clearedUntilMillis == null || record.crashes().isEmpty()
                ? record
                : record.withClearedUntil(clearedUntilMillis);
    }

    private boolean makeRoom() {
        if (mRecords.size() < MAX_RECORDS) {
            return true;
        }
        long nowMillis = mTicker.millis();
        Optional<Fingerprint> oldest =
                mRecords.entrySet().stream()
                        .filter(
                                entry ->
                                        !isQuarantined(entry.getKey(), entry.getValue(), nowMillis))
                        .min(Comparator.comparingLong(one -> one.getValue().expiresAtMillis()))
                        .map(Map.Entry::getKey);
        oldest.ifPresent(mRecords::remove);
        return oldest.isPresent();
    }

    // A head alone holds nothing: it would stop all requests that differ in their bodies.
    private static boolean isQuarantined(
            Fingerprint fingerprint, CrashRecord record, long nowMillis) {
        return fingerprint.isComplete() && record.quarantinedUntilMillis() > nowMillis;
    }

    private void rebuildView() {
        long nowMillis = mTicker.millis();
        Map<Fingerprint, CrashRecord> held = new HashMap<>();
        Set<Long> heldHeads = new HashSet<>();
        Set<Long> suspectHeads = new HashSet<>();
        mRecords.forEach(
                (fingerprint, record) -> {
                    if (record.crashes().isEmpty()) {
                        return;
                    }
                    suspectHeads.add(fingerprint.head());
                    if (isQuarantined(fingerprint, record, nowMillis)) {
                        held.put(fingerprint, record);
                        heldHeads.add(fingerprint.head());
                    }
                });
        mView = new View(held, heldHeads, suspectHeads);
    }

    private void notifyListener(Change change, boolean isNews) {
        long nowMillis = mTicker.millis();
        Fingerprint fingerprint = change.fingerprint();
        CrashRecord after = change.after();
        boolean wasHeld = isQuarantined(fingerprint, change.before(), nowMillis);
        boolean isHeld = isQuarantined(fingerprint, after, nowMillis);
        if (isHeld && !wasHeld) {
            mListener.quarantined(
                    fingerprint,
                    after.crashes().size(),
                    after.quarantinedUntilMillis() - nowMillis);
        }
        if (wasHeld && !isHeld) {
            mListener.released(fingerprint);
        }
        mListener.recordChanged(fingerprint, isNews || isHeld != wasHeld);
    }

    /** Returns what is known of a request; {@link CrashRecord#NONE} if nothing is. */
    synchronized CrashRecord record(Fingerprint fingerprint) {
        return mRecords.getOrDefault(fingerprint, CrashRecord.NONE);
    }

    /** Returns all records, those of held requests first. */
    public synchronized List<Entry> entries() {
        List<Entry> entries = new ArrayList<>(mRecords.size());
        mRecords.forEach((fingerprint, record) -> entries.add(new Entry(fingerprint, record)));
        entries.sort(
                Comparator.comparingLong((Entry entry) -> entry.record().quarantinedUntilMillis())
                        .reversed());
        return entries;
    }

    /** Returns a hash that two tables agree on if they count the same crashes. */
    synchronized long checksum() {
        long sum = 0;
        for (Map.Entry<Fingerprint, CrashRecord> entry : mRecords.entrySet()) {
            sum ^= entry.getValue().checksum(entry.getKey());
        }
        return sum;
    }
}
