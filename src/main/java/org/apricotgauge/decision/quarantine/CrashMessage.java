package org.apricotgauge.decision.quarantine;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * A message of {@link CrashGossip}.
 *
 * @param kind what the receiver does with it
 * @param sum checksum of the sender's table, see {@link QuarantineTable#checksum}
 * @param lines crash records, at most {@link #MAX_LINES}
 */
public record CrashMessage(Kind kind, long sum, List<Line> lines) {
    /** Maximum number of records; with nine crashes each, they fit a datagram of 1,400 bytes. */
    public static final int MAX_LINES = 8;

    /** What the receiver does with a message. */
    public enum Kind {
        /** Changed records; the receiver forwards those that are new to it. */
        NEWS,
        /** A comparison request: if the checksums differ, the receiver answers with all records. */
        ASK,
        /** Part of an answer. */
        PART,
        /**
         * Last part of an answer: if the checksums still differ, the receiver sends its own
         * records.
         */
        LAST_PART
    }

    /**
     * One crash record; times are relative to the moment of sending, since clocks differ.
     *
     * @param head the request's {@link Fingerprint#head}
     * @param body the request's {@link Fingerprint#body}
     * @param voidMillis time from now up to which crashes are cleared, negative for a time in the
     *     past; {@link #NOT_CLEARED} if none is cleared
     * @param crashIds ids of the crashes
     * @param agesMillis ages of the crashes, in the same order
     */
    public record Line(
            long head, long body, long voidMillis, List<Long> crashIds, List<Long> agesMillis) {
        /** No crash is cleared. */
        public static final long NOT_CLEARED = Long.MIN_VALUE;

        /** Validates the components. */
        public Line {
            crashIds = List.copyOf(Checks.notNull("crashIds", crashIds));
            agesMillis = List.copyOf(Checks.notNull("agesMillis", agesMillis));
            Checks.inRange("crashes", crashIds.size(), 0, CrashRecord.MAX_CRASHES);
            Checks.inRange("ages", agesMillis.size(), crashIds.size(), crashIds.size());
            agesMillis.forEach(age -> Checks.inRange("ageMillis", age, 0, MAX_AGE_MILLIS));
            if (voidMillis != NOT_CLEARED) {
                Checks.inRange("voidMillis", voidMillis, -MAX_AGE_MILLIS, MAX_CLEARED_MILLIS);
            }
        }

        private static final long MAX_AGE_MILLIS = 1L << 40;

        private static final long MAX_CLEARED_MILLIS = QuarantineTable.CLEARED_AFTER_SUCCESS_MILLIS;

        static Line of(QuarantineTable.Entry entry, long nowMillis) {
            CrashRecord record = entry.record();
            boolean isCleared =
                    record.clearedUntilMillis() != CrashRecord.NONE.clearedUntilMillis();
            return new Line(
                    entry.fingerprint().head(),
                    entry.fingerprint().body(),
                    isCleared ? record.clearedUntilMillis() - nowMillis : NOT_CLEARED,
                    record.crashes().stream().map(Crash::id).toList(),
                    record.crashes().stream()
                            .map(crash -> Math.max(0, nowMillis - crash.atMillis()))
                            .toList());
        }

        QuarantineTable.Entry toEntry(long nowMillis) {
            CrashRecord record = CrashRecord.NONE;
            for (int i = 0; i < crashIds.size(); i++) {
                record = record.with(new Crash(crashIds.get(i), nowMillis - agesMillis.get(i)));
            }
            return new QuarantineTable.Entry(
                    new Fingerprint(head, body),
                    voidMillis == NOT_CLEARED
                            ? record
                            : record.withClearedUntil(nowMillis + voidMillis));
        }
    }

    /** Validates the components. */
    public CrashMessage {
        Checks.notNull("kind", kind);
        lines = List.copyOf(Checks.notNull("lines", lines));
        Checks.inRange("lines", lines.size(), 0, MAX_LINES);
    }
}
