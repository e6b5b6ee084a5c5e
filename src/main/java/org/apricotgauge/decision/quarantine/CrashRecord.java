package org.apricotgauge.decision.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * The crashes that one request was at work in, and since when none of them counts.
 *
 * <pre>{@code
 * CrashRecord record = CrashRecord.NONE.with(new Crash(id, nowMillis));
 * boolean held = record.heldUntilMillis() > nowMillis;
 * }</pre>
 *
 * <p>Records of two nodes are merged by union and by the later time: the order in which news
 * arrives, and how often, does not matter.
 *
 * @param crashes those that count, the earliest first, at most {@link #MAX_CRASHES}
 * @param clearedUntilMillis crashes up to this time do not count
 */
public record CrashRecord(List<Crash> crashes, long clearedUntilMillis) {
    /** Nothing is known of the request. */
    public static final CrashRecord NONE = new CrashRecord(List.of(), Long.MIN_VALUE);

    /** So many crashes, and no run that ended well, prove that the request causes them. */
    static final int QUARANTINE_CRASHES = 3;

    /** How long a request is held after its last crash, the first time. */
    static final long BASE_QUARANTINE_MILLIS = 600_000;

    /** Each further crash doubles the time, so often at the most. */
    static final int MAX_DOUBLINGS = 6;

    /** Crashes that are kept; further ones change nothing. */
    static final int MAX_CRASHES = QUARANTINE_CRASHES + MAX_DOUBLINGS;

    /** How long a record is remembered once it holds nothing back. */
    static final long RETENTION_MILLIS = 600_000;

    /** Checks the parts, and drops the crashes that do not count. */
    public CrashRecord {
        Checks.notNull("crashes", crashes);
        crashes = countedCrashes(crashes, clearedUntilMillis);
    }

    private static List<Crash> countedCrashes(List<Crash> crashes, long voidUntilMillis) {
        List<Crash> counting =
                crashes.stream()
                        .filter(crash -> crash.atMillis() > voidUntilMillis)
                        .sorted(Comparator.comparingLong(Crash::atMillis))
                        .toList();
        int over = Math.max(0, counting.size() - MAX_CRASHES);
        return counting.subList(over, counting.size());
    }

    /** Returns the record with one more crash; the same one if it is known. */
    CrashRecord with(Crash crash) {
        if (crashes.stream().anyMatch(known -> known.id() == crash.id())) {
            return this;
        }
        List<Crash> all = new ArrayList<>(crashes);
        all.add(crash);
        return new CrashRecord(all, clearedUntilMillis);
    }

    /** Returns the record in which crashes up to a time do not count. */
    CrashRecord withClearedUntil(long millis) {
        return millis <= clearedUntilMillis ? this : new CrashRecord(crashes, millis);
    }

    /** Returns all that this record and another one tell. */
    CrashRecord merge(CrashRecord other) {
        CrashRecord merged = withClearedUntil(other.clearedUntilMillis());
        for (Crash crash : other.crashes()) {
            merged = merged.with(crash);
        }
        return merged;
    }

    /** Returns until when the request is kept from targets; {@link Long#MIN_VALUE} if it is not. */
    long quarantinedUntilMillis() {
        if (crashes.size() < QUARANTINE_CRASHES) {
            return Long.MIN_VALUE;
        }
        return lastCrashMillis()
                + (BASE_QUARANTINE_MILLIS
                        << Math.min(MAX_DOUBLINGS, crashes.size() - QUARANTINE_CRASHES));
    }

    /** Returns when the record tells nothing any more. */
    long expiresAtMillis() {
        long lastHeldMillis = Math.max(quarantinedUntilMillis(), lastCrashMillis());
        return Math.max(lastHeldMillis, clearedUntilMillis) + RETENTION_MILLIS;
    }

    private long lastCrashMillis() {
        return crashes.isEmpty() ? Long.MIN_VALUE / 2 : crashes.get(crashes.size() - 1).atMillis();
    }

    /** Returns a hash that two nodes agree on if they count the same crashes of the request. */
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
