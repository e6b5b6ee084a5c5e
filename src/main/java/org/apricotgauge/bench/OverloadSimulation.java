package org.apricotgauge.bench;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotgauge.decision.admission.AdmissionDecision;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;

/**
 * Discrete events of one target, its slots, the older system that uses them too, and the callers.
 *
 * <p>Requests come whatever happened to earlier ones (open loop). A request that finds no free slot
 * at the target is shed after a millisecond and counts as failed, or waits at the target.
 */
final class OverloadSimulation {

    private record Event(long atMicros, long sequence, Runnable action) {}

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_MICROS = 10_000;

    private final OverloadScenario mScenario;
    private final OverloadPolicy mPolicy;
    private final OverloadFigures mFigures = new OverloadFigures();
    private final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private final Map<Long, Long> mArrivedAtMicros = new HashMap<>();
    private final long mEndMicros;
    private long mNowMicros;
    private long mSequence;
    private long mTicketId;
    private int mBusySlots;
    private final Deque<Runnable> mTargetQueue = new ArrayDeque<>();
    private double mOlderMicros;
    private int mOlderWanted;
    private int mOlderHeld;

    OverloadSimulation(OverloadScenario scenario, OverloadPolicy policy) {
        mScenario = scenario;
        mPolicy = policy;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        mEndMicros = scenario.seconds() * MICROS_PER_SECOND;
    }

    /** Runs to the end of the scenario's time and returns what was counted. */
    OverloadFigures run() {
        mScenario.streams().forEach(this::scheduleArrival);
        if (mScenario.olderSlots() > 0) {
            schedule(exponential(OverloadScenario.OLDER_PHASE_MICROS), this::changeOlderPhase);
        }
        schedule(TICK_MICROS, this::tick);
        while (!mEvents.isEmpty() && mEvents.peek().atMicros() <= mEndMicros) {
            Event event = mEvents.remove();
            mNowMicros = event.atMicros();
            event.action().run();
        }
        double allMicros = (double) mScenario.slots() * mEndMicros;
        mFigures.setCapacityMicros(allMicros - mOlderMicros);
        return mFigures;
    }

    private void scheduleArrival(OverloadScenario.Stream stream) {
        schedule(exponential(stream.meanGapMicros()), () -> arrive(stream));
    }

    private void arrive(OverloadScenario.Stream stream) {
        scheduleArrival(stream);
        long deadlineMillis = nowMillis() + stream.mix().deadlineMillis();
        Ticket ticket = new Ticket(mTicketId++, stream.member(), stream.priority(), deadlineMillis);
        mFigures.onOffered(ticket);
        mArrivedAtMicros.put(ticket.id(), mNowMicros);
        AdmissionDecision offer = mPolicy.offer(ticket, nowMillis());
        if (offer instanceof AdmissionDecision.Admitted) {
            start(ticket);
        } else if (offer instanceof AdmissionDecision.Rejected) {
            mArrivedAtMicros.remove(ticket.id());
        } else if (offer instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(refusal -> forget(refusal.ticket()));
        }
    }

    private void start(Ticket ticket) {
        if (mBusySlots < mScenario.slots()) {
            serve(ticket, mNowMicros);
            return;
        }
        mFigures.onFull();
        long startMicros = mNowMicros;
        if (mScenario.older() == OverloadScenario.Older.TARGET_QUEUES) {
            mTargetQueue.add(() -> serve(ticket, startMicros));
            return;
        }
        long shedMicros = OverloadScenario.SHED_MICROS;
        schedule(shedMicros, () -> end(ticket, RunResult.SHED, shedMicros));
    }

    private void serve(Ticket ticket, long startMicros) {
        mBusySlots++;
        long serviceMicros = serviceMicros();
        schedule(
                serviceMicros,
                () -> {
                    answered(ticket, serviceMicros);
                    freeSlot();
                    end(ticket, RunResult.ANSWERED, mNowMicros - startMicros);
                });
    }

    // The older system is always quicker than the queue to a slot that falls free: the worst case.
    private void freeSlot() {
        mBusySlots--;
        if (mOlderHeld < mOlderWanted) {
            holdByOlder();
            return;
        }
        Runnable next = mTargetQueue.poll();
        if (next != null) {
            next.run();
        }
    }

    private void answered(Ticket ticket, long serviceMicros) {
        long totalMicros = mNowMicros - mArrivedAtMicros.get(ticket.id());
        boolean inTime = mNowMicros <= ticket.deadlineMillis() * MICROS_PER_MILLI;
        mFigures.onAnswered(ticket, serviceMicros, totalMicros, inTime);
    }

    private void end(Ticket ticket, RunResult result, long serviceMicros) {
        forget(ticket);
        apply(mPolicy.release(ticket, result, serviceMicros, nowMillis()));
    }

    private void tick() {
        schedule(TICK_MICROS, this::tick);
        apply(mPolicy.expire(nowMillis()));
    }

    private void apply(QueueChanges changes) {
        changes.rejected().forEach(refusal -> forget(refusal.ticket()));
        List<Ticket> admitted = changes.admitted();
        admitted.forEach(this::start);
    }

    private void forget(Ticket ticket) {
        mArrivedAtMicros.remove(ticket.id());
    }

    private void changeOlderPhase() {
        schedule(exponential(OverloadScenario.OLDER_PHASE_MICROS), this::changeOlderPhase);
        mOlderWanted = mOlderWanted == 0 ? mScenario.olderSlots() : 0;
        while (mOlderHeld < mOlderWanted && mBusySlots < mScenario.slots()) {
            holdByOlder();
        }
    }

    private void holdByOlder() {
        mBusySlots++;
        mOlderHeld++;
        long serviceMicros = serviceMicros();
        mOlderMicros += serviceMicros;
        schedule(
                serviceMicros,
                () -> {
                    mOlderHeld--;
                    freeSlot();
                });
    }

    private long serviceMicros() {
        double sigma = OverloadScenario.SERVICE_SIGMA;
        double mu = Math.log(OverloadScenario.MEAN_SERVICE_MICROS) - sigma * sigma / 2;
        return Math.max(1, Math.round(Math.exp(mu + sigma * gaussian())));
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()));
        return radius * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }

    private long exponential(double meanMicros) {
        return Math.max(1, Math.round(-meanMicros * Math.log(1 - mRandom.nextDouble())));
    }

    private void schedule(long inMicros, Runnable action) {
        mEvents.add(new Event(mNowMicros + inMicros, mSequence++, action));
    }

    private long nowMillis() {
        return mNowMicros / MICROS_PER_MILLI;
    }
}
