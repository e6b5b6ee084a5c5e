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
 * Tracks the requests during which targets crashed, and decides which of them are quarantined.
 *
 * <pre>{@code
 * table.recordCrash(List.of(first, second), crashId);     // a target crashed while running both
 * table.recordSuccess(second);                            // clears the second one
 * long millis = table.remainingQuarantineMillis(first);   // 0 if it may run
 * }</pre>
 *
 * <p>A target that crashes terminates all requests that it is running, so most of them did not
 * cause the crash. A request is quarantined after {@link CrashRecord#QUARANTINE_CRASHES} crashes,
 * none of which was preceded or followed by a successful run. Memory is bounded; a quarantined
 * request is never evicted in favor of a new one. Thread-safe; reads on the request path take no
 * lock.
 */
public final class QuarantineTable {
    /** Maximum number of requests with a crash record. */
    static final int MAX_RECORDS = 1_024;

    /** A successful run clears the crashes of its request up to this long after it. */
    static final long CLEARED_AFTER_SUCCESS_MILLIS = 60_000;

    /** Maximum number of requests whose successful run is remembered. */
    private static final int MAX_SUCCESSES = 4_096;

    private final Ticker mTicker;
    private final QuarantineListener mListener;
    private final Cache<Fingerprint, Long> mSuccesses;
    private final Map<Fingerprint, CrashRecord> mRecords = new HashMap<>();
    private volatile View mView = View.EMPTY;

    /** Immutable state for lock-free reads. */
    private record View(
            Map<Fingerprint, CrashRecord> quarantined,
            Set<Long> quarantinedHeads,
            Set<Long> suspectHeads) {
        static final View EMPTY = new View(Map.of(), Set.of(), Set.of());
    }

    /**
     * A request and its crash record.
     *
     * @param fingerprint identifies the request
     * @param record the crashes of the request
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

    /** Returns the remaining quarantine of the request, in milliseconds; 0 if it may run. */
    public long remainingQuarantineMillis(Fingerprint fingerprint) {
        CrashRecord record = mView.quarantined().get(fingerprint);
        return record == null ? 0 : Math.max(0, record.quarantinedUntilMillis() - mTicker.millis());
    }

    /** Returns whether a request with this head is quarantined, so that the body must be read. */
    public boolean isQuarantinedHead(long head) {
        return mView.quarantinedHeads().contains(head);
    }

    /** Returns whether a target crashed while it ran a request with this head. */
    public boolean isSuspectHead(long head) {
        return mView.suspectHeads().contains(head);
    }

    /** Returns the number of quarantined requests. */
    public int quarantinedCount() {
        return mView.quarantined().size();
    }

    /** Returns the number of requests with a record. */
    public synchronized int size() {
        return mRecords.size();
    }

    /** Records that a target crashed while it ran these requests. */
    public void recordCrash(Collection<Fingerprint> requests, long crashId) {
        Crash crash = new Crash(crashId, mTicker.millis());
        CrashRecord record = CrashRecord.NONE.with(crash);
        update(requests.stream().distinct().map(one -> new Entry(one, record)).toList(), true);
    }

    /** Records a successful run of the request. */
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

    /** Releases a request and clears its crashes; returns false if it has none. */
    public boolean release(Fingerprint fingerprint) {
        boolean hasCrashes = hasCrashes(fingerprint);
        if (hasCrashes) {
            update(fingerprint, CrashRecord.NONE.withClearedUntil(mTicker.millis()), true);
        }
        return hasCrashes;
    }

    /**
     * Merges records received from another node.
     *
     * @param isUpdate whether the other node sent them because they changed
     */
    public void merge(List<Entry> entries, boolean isUpdate) {
        long nowMillis = mTicker.millis();
        update(
                entries.stream()
                        .filter(entry -> entry.record().expiresAtMillis() > nowMillis)
                        .toList(),
                isUpdate);
    }

    /** Releases requests whose quarantine has ended, and removes expired records. */
    public void expire() {
        long nowMillis = mTicker.millis();
        Set<Fingerprint> before = mView.quarantined().keySet();
        synchronized (this) {
            if (mRecords.isEmpty()) {
                return;
            }
            boolean hasEnded =
                    mView.quarantined().keySet().stream()
                            .anyMatch(one -> remainingQuarantineMillis(one) == 0);
            boolean hasExpired =
                    mRecords.values().removeIf(record -> record.expiresAtMillis() <= nowMillis);
            if (!hasEnded && !hasExpired) {
                return;
            }
            rebuildView();
        }
        Set<Fingerprint> after = mView.quarantined().keySet();
        before.stream().filter(one -> !after.contains(one)).forEach(mListener::released);
    }

    private void update(Fingerprint fingerprint, CrashRecord record, boolean isUpdate) {
        update(List.of(new Entry(fingerprint, record)), isUpdate);
    }

    private void update(List<Entry> entries, boolean isUpdate) {
        List<Change> changes = new ArrayList<>();
        boolean isFull = false;
        synchronized (this) {
            for (Entry entry : entries) {
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
        changes.forEach(change -> notifyListener(change, isUpdate));
        if (isFull) {
            mListener.tableFull();
        }
    }

    // A run may have succeeded at this node before any crash was reported.
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

    // A head without a body hash must not quarantine: it would block requests with other bodies.
    private static boolean isQuarantined(
            Fingerprint fingerprint, CrashRecord record, long nowMillis) {
        return fingerprint.isComplete() && record.quarantinedUntilMillis() > nowMillis;
    }

    private void rebuildView() {
        long nowMillis = mTicker.millis();
        Map<Fingerprint, CrashRecord> quarantined = new HashMap<>();
        Set<Long> quarantinedHeads = new HashSet<>();
        Set<Long> suspectHeads = new HashSet<>();
        mRecords.forEach(
                (fingerprint, record) -> {
                    if (record.crashes().isEmpty()) {
                        return;
                    }
                    suspectHeads.add(fingerprint.head());
                    if (isQuarantined(fingerprint, record, nowMillis)) {
                        quarantined.put(fingerprint, record);
                        quarantinedHeads.add(fingerprint.head());
                    }
                });
        mView = new View(quarantined, quarantinedHeads, suspectHeads);
    }

    private void notifyListener(Change change, boolean isUpdate) {
        long nowMillis = mTicker.millis();
        Fingerprint fingerprint = change.fingerprint();
        CrashRecord after = change.after();
        boolean wasQuarantined = isQuarantined(fingerprint, change.before(), nowMillis);
        boolean isQuarantined = isQuarantined(fingerprint, after, nowMillis);
        if (isQuarantined && !wasQuarantined) {
            mListener.quarantined(
                    fingerprint,
                    after.crashes().size(),
                    after.quarantinedUntilMillis() - nowMillis);
        }
        if (wasQuarantined && !isQuarantined) {
            mListener.released(fingerprint);
        }
        mListener.recordChanged(fingerprint, isUpdate || isQuarantined != wasQuarantined);
    }

    /** Returns the record of a request; {@link CrashRecord#NONE} if there is none. */
    synchronized CrashRecord record(Fingerprint fingerprint) {
        return mRecords.getOrDefault(fingerprint, CrashRecord.NONE);
    }

    /** Returns all records, those of quarantined requests first. */
    public synchronized List<Entry> entries() {
        List<Entry> entries = new ArrayList<>(mRecords.size());
        mRecords.forEach((fingerprint, record) -> entries.add(new Entry(fingerprint, record)));
        entries.sort(
                Comparator.comparingLong((Entry entry) -> entry.record().quarantinedUntilMillis())
                        .reversed());
        return entries;
    }

    /** Returns a hash that is equal for two tables if they count the same crashes. */
    synchronized long checksum() {
        long sum = 0;
        for (Map.Entry<Fingerprint, CrashRecord> entry : mRecords.entrySet()) {
            sum ^= entry.getValue().checksum(entry.getKey());
        }
        return sum;
    }
}
