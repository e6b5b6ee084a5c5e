package org.apricotgauge.decision.quarantine;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * What nodes tell each other of requests that crash targets.
 *
 * @param kind what the receiver does with it
 * @param sum the sender's {@link QuarantineTable#checksum}
 * @param lines records, at most {@link #MAX_LINES}
 */
public record CrashMessage(Kind kind, long sum, List<Line> lines) {
    /** Records of one message; with nine crashes each, a datagram of 1,400 bytes holds so many. */
    public static final int MAX_LINES = 8;

    /** What the receiver does with a message. */
    public enum Kind {
        /** Something new; it passes it on. */
        NEWS,
        /** A question: if its own sum differs, it answers with all that it knows. */
        ASK,
        /** A part of an answer. */
        PART,
        /** The last part of an answer: if its own sum still differs, it tells what it knows. */
        LAST_PART
    }

    /**
     * One record; times are told as distances from now, since clocks differ.
     *
     * @param head the request's {@link Fingerprint#head}
     * @param body the request's {@link Fingerprint#body}
     * @param voidMillis how long from now crashes do not count, negative for a time in the past;
     *     {@link #NOT_CLEARED} if all count
     * @param crashIds ids of the crashes
     * @param agesMillis how long ago they were, in the same order
     */
    public record Line(
            long head, long body, long voidMillis, List<Long> crashIds, List<Long> agesMillis) {
        /** No crash is void. */
        public static final long NOT_CLEARED = Long.MIN_VALUE;

        /** Checks the parts. */
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
            boolean isVoid = record.clearedUntilMillis() != CrashRecord.NONE.clearedUntilMillis();
            return new Line(
                    entry.fingerprint().head(),
                    entry.fingerprint().body(),
                    isVoid ? record.clearedUntilMillis() - nowMillis : NOT_CLEARED,
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

    /** Checks the parts. */
    public CrashMessage {
        Checks.notNull("kind", kind);
        lines = List.copyOf(Checks.notNull("lines", lines));
        Checks.inRange("lines", lines.size(), 0, MAX_LINES);
    }
}
