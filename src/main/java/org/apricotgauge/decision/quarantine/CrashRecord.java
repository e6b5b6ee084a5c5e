package org.apricotgauge.decision.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * The crashes of targets while they ran one request, and the time up to which they are cleared.
 *
 * <pre>{@code
 * CrashRecord record = CrashRecord.NONE.with(new Crash(id, nowMillis));
 * boolean isQuarantined = record.quarantinedUntilMillis() > nowMillis;
 * }</pre>
 *
 * <p>Two records are merged by the union of their crashes and the later clearing time, so the
 * result depends neither on the order in which records arrive nor on how often they do.
 *
 * @param crashes the crashes that are not cleared, the earliest first, at most {@link #MAX_CRASHES}
 * @param clearedUntilMillis crashes up to this time are cleared and do not count
 */
public record CrashRecord(List<Crash> crashes, long clearedUntilMillis) {
    /** The record of a request without any crash. */
    public static final CrashRecord NONE = new CrashRecord(List.of(), Long.MIN_VALUE);

    /** This many crashes without a successful run prove that the request causes them. */
    static final int QUARANTINE_CRASHES = 3;

    /** Duration of the first quarantine, counted from the last crash. */
    static final long BASE_QUARANTINE_MILLIS = 600_000;

    /** Each further crash doubles the duration, at most this many times. */
    static final int MAX_DOUBLINGS = 6;

    /** Number of latest crashes that are kept; more would not double the duration again. */
    static final int MAX_CRASHES = QUARANTINE_CRASHES + MAX_DOUBLINGS;

    /** How long a record is kept after its quarantine, last crash and clearing time have passed. */
    static final long RETENTION_MILLIS = 600_000;

    /** Validates the components and drops the crashes that do not count. */
    public CrashRecord {
        Checks.notNull("crashes", crashes);
        crashes = countedCrashes(crashes, clearedUntilMillis);
    }

    private static List<Crash> countedCrashes(List<Crash> crashes, long clearedUntilMillis) {
        List<Crash> counted =
                crashes.stream()
                        .filter(crash -> crash.atMillis() > clearedUntilMillis)
                        .sorted(Comparator.comparingLong(Crash::atMillis))
                        .toList();
        int excess = Math.max(0, counted.size() - MAX_CRASHES);
        return counted.subList(excess, counted.size());
    }

    /** Returns the record with the crash added; this record if it already contains it. */
    CrashRecord with(Crash crash) {
        if (crashes.stream().anyMatch(known -> known.id() == crash.id())) {
            return this;
        }
        List<Crash> all = new ArrayList<>(crashes);
        all.add(crash);
        return new CrashRecord(all, clearedUntilMillis);
    }

    /** Returns the record with crashes up to the given time cleared. */
    CrashRecord withClearedUntil(long millis) {
        return millis <= clearedUntilMillis ? this : new CrashRecord(crashes, millis);
    }

    /** Returns the union of both records. */
    CrashRecord merge(CrashRecord other) {
        CrashRecord merged = withClearedUntil(other.clearedUntilMillis());
        for (Crash crash : other.crashes()) {
            merged = merged.with(crash);
        }
        return merged;
    }

    /** Returns when the quarantine ends; {@link Long#MIN_VALUE} if there is none. */
    long quarantinedUntilMillis() {
        if (crashes.size() < QUARANTINE_CRASHES) {
            return Long.MIN_VALUE;
        }
        return lastCrashMillis()
                + (BASE_QUARANTINE_MILLIS
                        << Math.min(MAX_DOUBLINGS, crashes.size() - QUARANTINE_CRASHES));
    }

    /** Returns when the record may be removed. */
    long expiresAtMillis() {
        long lastActiveMillis = Math.max(quarantinedUntilMillis(), lastCrashMillis());
        return Math.max(lastActiveMillis, clearedUntilMillis) + RETENTION_MILLIS;
    }

    private long lastCrashMillis() {
        return crashes.isEmpty() ? Long.MIN_VALUE / 2 : crashes.get(crashes.size() - 1).atMillis();
    }

    /** Returns a hash that is equal on two nodes if they count the same crashes. */
    long checksum(Fingerprint fingerprint) {
        long sum = 0;
        for (Crash crash : crashes) {
            sum ^=
                    Hashing.komihash5_0()
                            .hashStream()
                            .putLong(fingerprint.head())
                            .putLong(fingerprint.body())
                            .putLong(crash.id())
                            .getAsLong();
        }
        return sum;
    }
}
