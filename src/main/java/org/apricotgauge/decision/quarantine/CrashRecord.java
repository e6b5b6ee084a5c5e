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
 * @param voidUntilMillis crashes up to this time do not count
 */
public record CrashRecord(List<Crash> crashes, long voidUntilMillis) {
    /** Nothing is known of the request. */
    public static final CrashRecord NONE = new CrashRecord(List.of(), Long.MIN_VALUE);

    /** So many crashes, and no run that ended well, prove that the request causes them. */
    static final int PROOF = 3;

    /** How long a request is held after its last crash, the first time. */
    static final long HOLD_MILLIS = 600_000;

    /** Each further crash doubles the time, so often at the most. */
    static final int MAX_DOUBLINGS = 6;

    /** Crashes that are kept; further ones change nothing. */
    static final int MAX_CRASHES = PROOF + MAX_DOUBLINGS;

    /** How long a record is remembered once it holds nothing back. */
    static final long REMEMBERED_MILLIS = 600_000;

    /** Checks the parts, and drops the crashes that do not count. */
    public CrashRecord {
        Checks.notNull("crashes", crashes);
        crashes = counting(crashes, voidUntilMillis);
    }

    private static List<Crash> counting(List<Crash> crashes, long voidUntilMillis) {
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
        return new CrashRecord(all, voidUntilMillis);
    }

    /** Returns the record in which crashes up to a time do not count. */
    CrashRecord voidUntil(long millis) {
        return millis <= voidUntilMillis ? this : new CrashRecord(crashes, millis);
    }

    /** Returns all that this record and another one tell. */
    CrashRecord merge(CrashRecord other) {
        CrashRecord merged = voidUntil(other.voidUntilMillis());
        for (Crash crash : other.crashes()) {
            merged = merged.with(crash);
        }
        return merged;
    }

    /** Returns until when the request is kept from targets; {@link Long#MIN_VALUE} if it is not. */
    long heldUntilMillis() {
        if (crashes.size() < PROOF) {
            return Long.MIN_VALUE;
        }
        return lastMillis() + (HOLD_MILLIS << Math.min(MAX_DOUBLINGS, crashes.size() - PROOF));
    }

    /** Returns when the record tells nothing any more. */
    long forgottenAtMillis() {
        long lastHeldMillis = Math.max(heldUntilMillis(), lastMillis());
        return Math.max(lastHeldMillis, voidUntilMillis) + REMEMBERED_MILLIS;
    }

    private long lastMillis() {
        return crashes.isEmpty() ? Long.MIN_VALUE / 2 : crashes.get(crashes.size() - 1).atMillis();
    }

    /** Returns a hash that two nodes agree on if they count the same crashes of the request. */
    long sum(Fingerprint fingerprint) {
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
