package org.apricotgauge.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.decision.routing.LocalFirstPolicy.Reason;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.junit.jupiter.api.Test;

/** Each test drives entries, with one target beside each, by one pattern of load or failure. */
class LocalFirstPolicyTest {
    private static final Service SERVICE =
            new Service("s", 50, new DetectionOdds(1, 1), 10, 100, null);
    private static final int SLOTS = 4;
    private static final int SITE = 10;
    private static final int RUN_MILLIS = 300;
    private static final int STEP_MILLIS = 5;

    private final SplittableRandom mRandom = new SplittableRandom(11);
    private final int[] mRunMillis = new int[SITE];
    private final int[] mRunning = new int[SITE];
    private final int[][] mStarts = new int[SITE][SITE];
    private final List<ServiceTable> mTables = new ArrayList<>();
    private final List<RunTimeComparison> mRunTimes = new ArrayList<>();
    private final Queue<Run> mRuns = new ArrayDeque<>();
    private long mNowMillis;
    private int mWaits;

    private record Run(int entry, int target, long startMillis, long endMillis) {}

    LocalFirstPolicyTest() {
        Arrays.fill(mRunMillis, RUN_MILLIS);
        for (int entry = 0; entry < SITE; entry++) {
            mTables.add(tableOf(entry, Candidate.NO_RAMP));
            mRunTimes.add(new RunTimeComparison());
        }
    }

    private static ServiceTable tableOf(int entry, long rampStartNanos) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < SITE; i++) {
            Target target = new Target("t" + i, "s", "vm" + i, "here", "127.0.0.1", 80 + i, SLOTS);
            long ramp = i == entry ? rampStartNanos : Candidate.NO_RAMP;
            candidates.add(new Candidate(target, null, false, 1, ramp, new TargetLoad()));
        }
        return ServiceTable.of(SERVICE, candidates, "vm" + entry, "here");
    }

    // Guards against requests that wait at a full target while slots are free elsewhere.
    @Test
    void callersWithConnectionsToThreeOfTenEntriesUseTheSlotsOfAll() {
        play(10_000, entry -> entry < 3 ? 25 : 0);

        assertThat(mWaits).isLessThan(startsAt(0, SITE) / 20);
        for (int target = 0; target < SITE; target++) {
            assertThat(startsAt(target, target + 1)).as("target %s", target).isGreaterThan(20);
        }
    }

    // Guards against a burst that queues at the entry that it reaches.
    @Test
    void burstAtOneEntrySpillsOverAtOnce() {
        play(1_000, entry -> entry == 0 ? 50 : 1);

        assertThat(mWaits).isZero();
        assertThat(mStarts[0][0]).isGreaterThan(8).isLessThan(mStarts[0][0] + startsElsewhere(0));
    }

    // Guards against targets that no other entry knows when they are needed, and against the loss
    // of the sound targets beside entries without callers.
    @Test
    void everyTargetIsUsedByOtherEntriesWhileAllHaveFreeSlots() {
        play(20_000, entry -> entry < SITE - 1 ? 3 : 0);

        for (int target = 0; target < SITE; target++) {
            int fromOthers = startsAt(target, target + 1) - mStarts[target][target];
            assertThat(fromOthers).as("target %s", target).isGreaterThan(2);
        }
        assertThat(mStarts[0][0]).isGreaterThan(4 * startsElsewhere(0));
    }

    // Guards against a slow target that keeps what its neighbours would answer sooner.
    @Test
    void targetThatIsAThirdAsFastKeepsFewRequestsAndGetsThemBack() {
        mRunMillis[0] = 3 * RUN_MILLIS;
        play(60_000, entry -> 3);
        mStarts[0] = new int[SITE];
        play(30_000, entry -> 3);
        assertThat(mStarts[0][0]).isLessThan(startsElsewhere(0) / 2);

        mRunMillis[0] = RUN_MILLIS;
        play(60_000, entry -> 3);
        mStarts[0] = new int[SITE];
        play(30_000, entry -> 3);
        assertThat(mStarts[0][0]).isGreaterThan(2 * startsElsewhere(0));
    }

    // Guards against requests that stay at a target that fell ill a moment ago and looks idle.
    @Test
    void firstEvidenceOfASickSpellEndsThePreference() {
        HealthGate gate = new HealthGate();
        for (int i = 0; i < 20; i++) {
            gate.ended(gate.started(i * 100), false, i * 100 + 50);
        }
        reportHealth(gate, 2_000);
        assertThat(decide(mTables.get(0), 1, 2_000)).isNotEqualTo(Reason.UNHEALTHY);

        gate.ended(gate.started(2_000), true, 2_010);
        reportHealth(gate, 2_010);

        assertThat(decide(mTables.get(0), 1, 2_010)).isEqualTo(Reason.UNHEALTHY);
    }

    private void reportHealth(HealthGate gate, long nowMillis) {
        mTables.get(0).beside().get(0).load().reportDegradation(gate.estimate(nowMillis));
    }

    // Guards against full load on a target that has just started.
    @Test
    void coldTargetKeepsATenthAtFirst() {
        ServiceTable table = tableOf(0, 0);
        int stayed = 0;
        for (int i = 0; i < 1_000; i++) {
            stayed += decide(table, SLOTS, 0) == Reason.STAYED ? 1 : 0;
        }

        assertThat(stayed).isBetween(50, 150);
    }

    @Test
    void fullTargetAndGuardThatAcceptsNothingAreLeftAlone() {
        assertThat(decide(mTables.get(0), 0, 0)).isEqualTo(Reason.FULL);
        assertThat(
                        LocalFirstPolicy.decide(
                                        mTables.get(0), LocalSlots.NONE, one -> 1, mRandom, 0)
                                .reason())
                .isEqualTo(Reason.NONE_BESIDE);
    }

    private Reason decide(ServiceTable table, int free, long nowMillis) {
        LocalSlots slots = id -> Optional.of(new LocalSlots.Use(free, 0));
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
        return LocalFirstPolicy.decide(table, slots, one -> 1, mRandom, nowNanos).reason();
    }

    private int startsAt(int fromTarget, int toTarget) {
        return Arrays.stream(mStarts)
                .mapToInt(row -> Arrays.stream(row, fromTarget, toTarget).sum())
                .sum();
    }

    private int startsElsewhere(int entry) {
        return Arrays.stream(mStarts[entry]).sum() - mStarts[entry][entry];
    }

    /** Callers of one entry, as requests per second. */
    @FunctionalInterface
    private interface Demand {
        double perSecond(int entry);
    }

    private void play(long millis, Demand demand) {
        long endMillis = mNowMillis + millis;
        for (; mNowMillis < endMillis; mNowMillis += STEP_MILLIS) {
            mRuns.removeIf(this::endIfDue);
            for (int entry = 0; entry < SITE; entry++) {
                if (mRandom.nextDouble() < demand.perSecond(entry) * STEP_MILLIS / 1_000) {
                    request(entry);
                }
            }
        }
    }

    private boolean endIfDue(Run run) {
        if (run.endMillis() > mNowMillis) {
            return false;
        }
        mRunning[run.target()]--;
        TargetLoad load = mTables.get(run.entry()).all().get(run.target()).load();
        load.end();
        reportLoad(run.entry(), run.target());
        double tookMillis = run.endMillis() - run.startMillis();
        if (run.entry() == run.target()) {
            mRunTimes.get(run.entry()).recordBeside("t" + run.target(), "r", tookMillis);
        } else {
            mRunTimes.get(run.entry()).recordElsewhere("r", tookMillis);
        }
        return true;
    }

    private void request(int entry) {
        ServiceTable table = mTables.get(entry);
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(mNowMillis);
        LocalSlots slots = id -> Optional.of(new LocalSlots.Use(SLOTS - mRunning[entry], 0));
        LocalFirstPolicy.Decision decision =
                LocalFirstPolicy.decide(
                        table,
                        slots,
                        one -> mRunTimes.get(entry).slownessOf(one.target().id()),
                        mRandom,
                        nowNanos);
        Set<String> tried = new HashSet<>();
        if (decision.reason() == Reason.FULL) {
            tried.add("t" + entry);
        }
        Optional<Candidate> choice =
                decision.stays()
                        ? decision.beside()
                        : BalancingPolicy.choose(table, tried, mRandom, nowNanos);
        for (int look = 0; look < 2; look++) {
            int target = table.all().indexOf(choice.orElseThrow());
            if (mRunning[target] < SLOTS) {
                start(entry, target);
                return;
            }
            reportLoad(entry, target);
            tried.add("t" + target);
            choice = BalancingPolicy.choose(table, tried, mRandom, nowNanos);
        }
        mWaits++;
    }

    private void start(int entry, int target) {
        mRunning[target]++;
        mStarts[entry][target]++;
        mTables.get(entry).all().get(target).load().begin();
        long millis = Math.round(mRunMillis[target] * mRandom.nextDouble(0.5, 1.5));
        mRuns.add(new Run(entry, target, mNowMillis, mNowMillis + millis));
    }

    private void reportLoad(int entry, int target) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(mNowMillis);
        TargetLoad load = mTables.get(entry).all().get(target).load();
        load.reportLoad(1_000 * mRunning[target] / SLOTS, nowNanos);
    }
}
