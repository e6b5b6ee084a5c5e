package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apricotgauge.bench.soak.Signal.Kind;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.platform.kv.KvDialect;
import org.junit.jupiter.api.Test;

/** The judge has to find each way in which a request can be lost, and may excuse no other. */
class JudgeTest {
    private static final String ID = "id";
    private static final int ENTRY = 0;
    private static final int GUARD = 1;
    private static final long STOP_MILLIS = 6_000;
    private static final long SENT = 10_000;

    private static PlannedRequest request(boolean isIdempotent) {
        return new PlannedRequest(
                ID, "desk", isIdempotent, 8_000, 4_000, 0, 200, Framing.LENGTH, 0);
    }

    private static Exchange whole(
            boolean isIdempotent, long endMillis, int status, Map<String, String> headers) {
        HttpReader.Head head = new HttpReader.Head("HTTP/1.1 " + status + " Told", headers);
        boolean isExact = headers.containsKey(lower(KvDialect.TARGET_MARK));
        return new Exchange(
                request(isIdempotent),
                ENTRY,
                false,
                SENT,
                SENT,
                endMillis,
                head,
                300,
                true,
                isExact,
                "");
    }

    private static Exchange told(boolean isIdempotent, long endMillis, int status, String outcome) {
        return whole(isIdempotent, endMillis, status, Map.of(lower(HeaderNames.OUTCOME), outcome));
    }

    private static Exchange served(Map<String, String> changed) {
        Map<String, String> headers = new HashMap<>();
        headers.put(lower(KvDialect.TARGET_MARK), "mark");
        headers.put(lower(KvDialect.REQUEST_ID), ID);
        headers.putAll(changed);
        return whole(true, SENT + 4_000, 200, headers);
    }

    private static Exchange unknown(int timeoutMillis, long endMillis) {
        HttpReader.Head head =
                new HttpReader.Head(
                        "HTTP/1.1 504 Told",
                        Map.of(lower(HeaderNames.OUTCOME), HeaderNames.OUTCOME_UNKNOWN));
        PlannedRequest request =
                new PlannedRequest(
                        ID, "desk", true, timeoutMillis, 3_600, 0, 200, Framing.LENGTH, 0);
        return new Exchange(
                request, ENTRY, false, SENT, SENT, endMillis, head, 170, true, false, "");
    }

    private static Exchange broken(boolean isIdempotent, long endMillis, long bytes) {
        return new Exchange(
                request(isIdempotent),
                ENTRY,
                false,
                SENT,
                SENT,
                endMillis,
                null,
                bytes,
                false,
                false,
                "java.io.EOFException: the connection ended");
    }

    private static String lower(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    private static RunRecord run(int node, long startMillis, long plannedEndMillis) {
        return new RunRecord(ID, node, startMillis, plannedEndMillis, plannedEndMillis, false);
    }

    private static Finding judge(Exchange exchange, List<RunRecord> runs, Signal... signals) {
        return new Judge(new Signals(List.of(signals)), runs, STOP_MILLIS).judge(exchange);
    }

    private static Signal stop(int node, long millis) {
        return new Signal(node, Kind.STOP, millis);
    }

    // Guards against a soak that finds a lost answer where there is none.
    @Test
    void anAnswerThatIsWholeIsServed() {
        assertThat(judge(served(Map.of()), List.of(run(GUARD, SENT, SENT + 4_000))).verdict())
                .isEqualTo(Verdict.SERVED);
    }

    // Guards against another request's answer that passes for the right one.
    @Test
    void anAnswerToAnotherRequestIsWrong() {
        Exchange other = served(Map.of(lower(KvDialect.REQUEST_ID), "other"));
        assertThat(judge(other, List.of()).verdict()).isEqualTo(Verdict.WRONG_ANSWER);
    }

    // Guards against answers that end in the middle, from entries that stop and from others.
    @Test
    void anAnswerThatIsCutIsLost() {
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 4_000));
        Exchange cut = broken(true, SENT + 3_000, 100);
        assertThat(judge(cut, runs, stop(GUARD, SENT - 2_000)).verdict())
                .isEqualTo(Verdict.LOST_CALM);
        assertThat(judge(cut, runs, stop(ENTRY, SENT - 1_100)).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
        assertThat(judge(cut, runs, stop(2, SENT - 1_100)).verdict())
                .isEqualTo(Verdict.LOST_UNSIGNALLED);
    }

    // Guards against an outcome of the entry's own while the guard could still have answered.
    @Test
    void anUnknownOutcomeOfARequestThatRanIsLost() {
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 4_000));
        Exchange told = told(false, SENT + 3_000, 504, HeaderNames.OUTCOME_UNKNOWN);
        assertThat(judge(told, runs, stop(GUARD, SENT - 2_000)).verdict())
                .isEqualTo(Verdict.LOST_CALM);
        assertThat(judge(told, List.of()).verdict()).isEqualTo(Verdict.UNKNOWN);
    }

    // Guards against a refusal that tells "not run" of a request that ran.
    @Test
    void aRefusalOfARequestThatRanIsFalse() {
        Exchange refused = told(false, SENT + 10, 503, HeaderNames.OUTCOME_NOT_RUN);
        assertThat(judge(refused, List.of(run(GUARD, SENT, SENT + 5))).verdict())
                .isEqualTo(Verdict.FALSE_REFUSAL);
        assertThat(judge(refused, List.of()).verdict()).isEqualTo(Verdict.REFUSED);
    }

    // Guards against requests that may not repeat and run twice.
    @Test
    void aSecondRunOfARequestThatMayNotRepeatIsAFault() {
        List<RunRecord> runs = List.of(run(1, SENT, SENT + 100), run(2, SENT + 200, SENT + 300));
        Exchange told = told(false, SENT + 300, 504, HeaderNames.OUTCOME_UNKNOWN);
        assertThat(judge(told, runs).verdict()).isEqualTo(Verdict.RAN_TWICE);
    }

    // Guards against the HTTP server's own error page in the place of an outcome.
    @Test
    void aStatus500ThatNoTargetMadeIsAFault() {
        assertThat(judge(told(true, SENT + 10, 500, ""), List.of()).verdict())
                .isEqualTo(Verdict.OWN_ERROR);
    }

    // Guards against a request that was never read, and is counted as lost.
    @Test
    void aRequestThatCrossedTheCloseIsAllowed() {
        assertThat(judge(broken(true, SENT + 10, 0), List.of()).verdict())
                .isEqualTo(Verdict.CROSSED);
        assertThat(judge(broken(true, SENT + 10, 0), List.of(run(1, SENT, SENT + 5))).verdict())
                .isEqualTo(Verdict.LOST_UNSIGNALLED);
    }

    // Guards against a request that an entry keeps, and drops unanswered, passing for an unread
    // one.
    @Test
    void aRequestThatIsDroppedLongAfterItWasSentIsLost() {
        Signal stop = stop(ENTRY, SENT - 1_000);
        assertThat(judge(broken(true, SENT + 2_000, 0), List.of(), stop).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
    }

    // Guards against an excuse by the entry's last sixth for a run that was broken off before it.
    @Test
    void aRunThatWasBrokenOffBeforeTheLastSixthIsNoExcuse() {
        Signal stop = stop(ENTRY, SENT - 1_000);
        RunRecord brokenOff = new RunRecord(ID, GUARD, SENT, SENT + 6_000, SENT + 1_000, false);
        assertThat(judge(broken(true, SENT + 4_100, 100), List.of(brokenOff), stop).excuse())
                .isEmpty();
    }

    // Guards against an excuse by the entry's last sixth for a request that is cut before it.
    @Test
    void anEntryIsExcusedInItsLastSixthOnly() {
        Signal stop = stop(ENTRY, SENT - 1_000);
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 6_000));
        assertThat(judge(broken(true, SENT + 4_000, 100), runs, stop).excuse())
                .contains(Excuse.ENTRY_OUT_OF_TIME);
        assertThat(judge(broken(true, SENT + 3_900, 100), runs, stop).excuse()).isEmpty();
        assertThat(judge(broken(true, SENT + 4_000, 100), runs, stop(ENTRY, SENT - 3_001)).excuse())
                .isEmpty();
    }

    // Guards against an excuse for a guard that takes a run after its signal, or ends too early.
    @Test
    void aGuardIsExcusedForRunsThatOutliveItOnly() {
        Exchange cut = broken(false, SENT + 5_900, 100);
        Signal stop = stop(GUARD, SENT + 100);
        assertThat(judge(cut, List.of(run(GUARD, SENT, SENT + 6_050)), stop).excuse())
                .contains(Excuse.GUARD_OUT_OF_TIME);
        assertThat(judge(cut, List.of(run(GUARD, SENT, SENT + 5_800)), stop).excuse()).isEmpty();
        assertThat(judge(cut, List.of(run(GUARD, SENT + 400, SENT + 6_400)), stop).excuse())
                .isEmpty();
        Exchange repeatable = broken(true, SENT + 5_900, 100);
        assertThat(judge(repeatable, List.of(run(GUARD, SENT, SENT + 6_050)), stop).excuse())
                .isEmpty();
    }

    // Guards against losses by a kill out of the blue that count as losses by a stop.
    @Test
    void aKillExcusesItsOwnRunsOnly() {
        Exchange cut = broken(false, SENT + 1_000, 100);
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 4_000));
        Signal kill = new Signal(GUARD, Kind.KILL, SENT + 990);
        assertThat(judge(cut, runs, kill).excuse()).contains(Excuse.GUARD_KILLED);
        Signal other = new Signal(2, Kind.KILL, SENT + 990);
        assertThat(judge(cut, runs, other).excuse()).isEmpty();
        Signal later = new Signal(GUARD, Kind.KILL, SENT + 2_000);
        assertThat(judge(cut, runs, later).excuse()).isEmpty();
    }

    // Guards against losses of a paused process that is killed late, and of no other.
    @Test
    void aPauseExcusesOnlyIfThePlatformKilled() {
        Exchange cut = broken(false, SENT + 5_000, 100);
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 5_500));
        Signal pause = new Signal(GUARD, Kind.PAUSE, SENT - 1_200);
        Signal stop = stop(GUARD, SENT - 1_000);
        Signal kill = new Signal(GUARD, Kind.KILL_LATE, SENT + 5_000);
        assertThat(judge(cut, runs, pause, stop, kill).excuse()).contains(Excuse.NODE_PAUSED);
        assertThat(judge(cut, runs, pause, stop).excuse()).isEmpty();
        assertThat(judge(cut, runs, stop, kill).excuse()).isEmpty();
    }

    // Guards against an excuse for a request that had time left.
    @Test
    void theDeadlineExcuses() {
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 9_000));
        Exchange late = told(true, SENT + 8_000, 504, HeaderNames.OUTCOME_UNKNOWN);
        assertThat(judge(late, runs).excuse()).contains(Excuse.DEADLINE);
        Exchange early = told(true, SENT + 7_500, 504, HeaderNames.OUTCOME_UNKNOWN);
        assertThat(judge(early, runs).excuse()).isEmpty();
    }

    // Guards against a deadline of another kind of work that excuses a request with time left, or
    // does not excuse one that had none.
    @Test
    void theDeadlineIsTheRequestsOwn() {
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 3_600));
        assertThat(judge(unknown(3_000, SENT + 3_000), runs).excuse()).contains(Excuse.DEADLINE);
        assertThat(judge(unknown(3_000, SENT + 2_799), runs).excuse()).isEmpty();
        assertThat(judge(unknown(8_000, SENT + 3_000), runs).excuse()).isEmpty();
    }

    // Guards against an entry that stops, gives up a run for the guard's silence and tells 504, as
    // callers saw it.
    @Test
    void anOwnAnswerInThePlaceOfARunAtWorkIsLost() {
        Exchange told = unknown(3_000, SENT + 2_370);
        Signal stop = stop(ENTRY, SENT - 2_100);
        RunRecord brokenOff =
                new RunRecord(ID, GUARD, SENT + 10, SENT + 2_900, SENT + 1_000, false);
        assertThat(judge(told, List.of(brokenOff), stop).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
        RunRecord goingOn = new RunRecord(ID, GUARD, SENT + 10, SENT + 2_900, SENT + 2_901, true);
        assertThat(judge(told, List.of(goingOn), stop).verdict()).isEqualTo(Verdict.LOST_STOPPING);
        RunRecord later = new RunRecord(ID, GUARD, SENT + 2_400, SENT + 2_900, SENT + 2_901, true);
        assertThat(judge(told, List.of(later), stop).verdict()).isEqualTo(Verdict.LOST_STOPPING);
    }

    // Guards against a refusal that passes for true since the run, broken off before, would have
    // ended by then.
    @Test
    void aRefusalAfterARunThatWasBrokenOffIsLost() {
        Exchange refused = told(true, SENT + 2_000, 503, HeaderNames.OUTCOME_NOT_RUN);
        RunRecord brokenOff = new RunRecord(ID, GUARD, SENT, SENT + 1_500, SENT + 1_000, false);
        assertThat(judge(refused, List.of(brokenOff), stop(ENTRY, SENT - 1_000)).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
        RunRecord ended = new RunRecord(ID, GUARD, SENT, SENT + 1_500, SENT + 1_500, true);
        assertThat(judge(refused, List.of(ended)).verdict()).isEqualTo(Verdict.REFUSED);
    }

    // Guards against a refusal that passes for true since the run began after it was told.
    @Test
    void aRefusalBeforeARunBeginsIsLost() {
        Exchange refused = told(true, SENT + 2_000, 503, HeaderNames.OUTCOME_NOT_RUN);
        RunRecord later = new RunRecord(ID, GUARD, SENT + 2_200, SENT + 2_600, SENT + 2_600, true);
        assertThat(judge(refused, List.of(later)).verdict()).isEqualTo(Verdict.LOST_UNSIGNALLED);
        Exchange limited = told(true, SENT + 2_000, 429, HeaderNames.OUTCOME_NOT_RUN);
        assertThat(judge(limited, List.of(later)).verdict()).isEqualTo(Verdict.LOST_UNSIGNALLED);
    }

    // Guards against a request that is read, and dropped as its entry's port closes, passing for
    // one that crossed the end of its connection.
    @Test
    void aConnectionThatEndsLaterThanTheSlackIsALoss() {
        Signal stop = stop(ENTRY, SENT - 3_270);
        assertThat(judge(broken(true, SENT + 200, 0), List.of(), stop).verdict())
                .isEqualTo(Verdict.CROSSED);
        assertThat(judge(broken(true, SENT + 201, 0), List.of(), stop).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
    }

    // Guards against a loss that passes for unread since the request was behind another, though it
    // was passed on.
    @Test
    void aRequestBehindAnotherIsExcusedOnlyIfItWasNotPassedOn() {
        Exchange behind =
                new Exchange(
                        request(true),
                        ENTRY,
                        true,
                        SENT,
                        SENT,
                        SENT + 2_000,
                        null,
                        0,
                        false,
                        false,
                        "java.io.EOFException: the connection ended");
        Signal stop = stop(ENTRY, SENT - 1_000);
        assertThat(judge(behind, List.of(), stop).verdict()).isEqualTo(Verdict.CROSSED);
        assertThat(judge(behind, List.of(run(GUARD, SENT, SENT + 2_500)), stop).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
    }

    // Guards against losses late in a stop that pass for losses without one: the process may be
    // there for a second after its time.
    @Test
    void aStopCountsUntilASecondAfterItsTime() {
        Signal started = new Signal(ENTRY, Kind.STARTED, SENT - 10);
        Exchange cut = broken(true, SENT + 500, 0);
        assertThat(judge(cut, List.of(), stop(ENTRY, SENT - 7_000), started).verdict())
                .isEqualTo(Verdict.LOST_STOPPING);
        assertThat(judge(cut, List.of(), stop(ENTRY, SENT - 7_001), started).verdict())
                .isEqualTo(Verdict.LOST_UNSIGNALLED);
    }

    // Guards against an excuse by the guard's end, which the rule does not list, at an entry that
    // stops.
    @Test
    void aGuardsEndExcusesNothingAtAnEntryThatStops() {
        Exchange cut = broken(false, SENT + 5_900, 100);
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 6_050));
        Signal guardStop = stop(GUARD, SENT + 100);
        assertThat(judge(cut, runs, guardStop).excuse()).contains(Excuse.GUARD_OUT_OF_TIME);
        Finding finding = judge(cut, runs, guardStop, stop(ENTRY, SENT + 1_500));
        assertThat(finding.excuse()).isEmpty();
        assertThat(finding.verdict()).isEqualTo(Verdict.LOST_STOPPING);
    }

    // Guards against the excuse of the entry's last sixth for a request sent too late for it.
    @Test
    void onlyRequestsSentSoonAfterTheSignalAreExcused() {
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 2_900));
        Exchange cut = broken(true, SENT + 2_500, 100);
        assertThat(judge(cut, runs, stop(ENTRY, SENT - 3_000)).excuse())
                .contains(Excuse.ENTRY_OUT_OF_TIME);
        assertThat(judge(cut, runs, stop(ENTRY, SENT - 3_001)).excuse()).isEmpty();
    }

    // Guards against a deadline that passed while the body was sent, and counts as a loss.
    @Test
    void theDeadlineCountsFromTheFirstByte() {
        Exchange atOnce = unknown(3_000, SENT + 719);
        Exchange slow =
                new Exchange(
                        atOnce.request(),
                        ENTRY,
                        false,
                        SENT - 2_290,
                        SENT,
                        SENT + 719,
                        atOnce.head(),
                        170,
                        true,
                        false,
                        "");
        List<RunRecord> runs = List.of(run(GUARD, SENT, SENT + 1_071));
        assertThat(judge(slow, runs).excuse()).contains(Excuse.DEADLINE);
        assertThat(judge(atOnce, runs).excuse()).isEmpty();
    }
}
