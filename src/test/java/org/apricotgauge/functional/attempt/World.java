package org.apricotgauge.functional.attempt;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.attempt.IdempotencyKey;

/** Two entries, two guards with their targets, and a network that does what it likes. */
final class World {
    private static final int DRAIN_ROUNDS = 40;
    private static final int DRAIN_MILLIS = 300;

    private final List<Message> mNetwork = new ArrayList<>();
    private final Oracle mOracle = new Oracle();
    private final List<GuardModel> mGuards = new ArrayList<>();
    private final List<EntryModel> mEntries = new ArrayList<>();
    private final List<EntryModel> mEntryOf = new ArrayList<>();

    World() {
        for (int i = 0; i < 2; i++) {
            mGuards.add(new GuardModel(mNetwork::add, mOracle));
            // Past the time in which a fresh guard refuses keys.
            mGuards.get(i).mClockMillis += GuardModel.KEYS.retentionMillis();
        }
        for (int i = 0; i < 2; i++) {
            mEntries.add(new EntryModel("entry-" + i, mGuards, mNetwork::add, mOracle));
        }
    }

    void run(List<Step> steps) {
        steps.forEach(this::apply);
        drain();
        mOracle.atEnd();
    }

    private void apply(Step step) {
        EntryModel entry = mEntries.get(step.who());
        GuardModel guard = mGuards.get(step.who());
        switch (step.kind()) {
            case DELIVER, DELIVER_OLDEST, LOSE, DUPLICATE -> network(step);
            case SUBMIT, SUBMIT_WITH_KEY, GIVE_UP, CALLER_CANCELS -> {
                if (!entry.mPaused) {
                    entryStep(entry, step);
                }
            }
            case START, TARGET_ANSWERS, TARGET_SHEDS, TARGET_BREAKS -> {
                if (!guard.mPaused) {
                    guardStep(guard, step);
                }
            }
            case TARGET_RUNS -> guard.targetRuns(step.pick());
            default -> processStep(entry, guard, step);
        }
    }

    private static void processStep(EntryModel entry, GuardModel guard, Step step) {
        switch (step.kind()) {
            case ENTRY_CLOCK -> entry.mClockMillis += step.millis();
            case GUARD_CLOCK -> moveGuardClock(guard, step.millis());
            case CRASH_ENTRY -> entry.restart();
            case CRASH_GUARD -> guard.restart();
            case LEAVE -> guard.mLeaving = true;
            case PAUSE_ENTRY -> entry.mPaused = !entry.mPaused;
            case PAUSE_GUARD -> guard.mPaused = !guard.mPaused;
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    private void entryStep(EntryModel entry, Step step) {
        switch (step.kind()) {
            case SUBMIT -> submit(entry, step, null);
            case SUBMIT_WITH_KEY -> {
                String value = "k" + step.pick() % 2;
                submit(entry, step, new IdempotencyKey("orders", "firm", value));
            }
            case GIVE_UP -> entry.giveUp(step.pick());
            default -> entry.callerCancels(step.pick());
        }
    }

    private static void guardStep(GuardModel guard, Step step) {
        switch (step.kind()) {
            case START -> guard.start(step.pick());
            case TARGET_ANSWERS -> guard.targetAnswers(step.pick(), false);
            case TARGET_SHEDS -> guard.targetAnswers(step.pick(), true);
            default -> guard.targetBreaks(step.pick());
        }
    }

    private static void moveGuardClock(GuardModel guard, int millis) {
        guard.mClockMillis += millis;
        if (!guard.mPaused) {
            guard.expire();
        }
    }

    private void submit(EntryModel entry, Step step, IdempotencyKey key) {
        boolean repeatable = key == null && step.pick() % 3 == 0;
        Submission submission =
                new Submission(
                        mOracle.mSubmissions.size(),
                        repeatable,
                        key,
                        entry.mClockMillis + step.millis() * (key == null ? 1L : 2L));
        mOracle.mSubmissions.add(submission);
        mEntryOf.add(entry);
        entry.submit(submission, step.pick());
    }

    private void network(Step step) {
        if (mNetwork.isEmpty()) {
            return;
        }
        int index = step.kind() == Step.Kind.DELIVER_OLDEST ? 0 : step.pick() % mNetwork.size();
        Message message = mNetwork.get(index);
        switch (step.kind()) {
            case LOSE -> mNetwork.remove(index);
            case DUPLICATE -> duplicate(index);
            default -> {
                if (canReceive(message)) {
                    mNetwork.remove(index);
                    deliver(message);
                }
            }
        }
    }

    // TCP doubles nothing; only a repeated send within one run of the guard can, so that the copies
    // of a request can't reach two runs.
    private void duplicate(int index) {
        Message message = mNetwork.get(index);
        if (message instanceof Message.Request request && request.boundRun() == 0) {
            message = new Message.Request(request.exchange(), guardOf(message).mRun);
            mNetwork.set(index, message);
        }
        mNetwork.add(message);
    }

    private boolean canReceive(Message message) {
        if (message instanceof Message.Response || message instanceof Message.FenceResponse) {
            return !entryOf(message).mPaused;
        }
        return !guardOf(message).mPaused;
    }

    private void deliver(Message message) {
        GuardModel guard = guardOf(message);
        if (message instanceof Message.Response response) {
            entryOf(message).onResponse(response);
        } else if (message instanceof Message.FenceResponse response) {
            entryOf(message).onFenceResponse(response);
        } else if (message instanceof Message.Fence fence) {
            if (fence.connectionRun() == guard.mRun) {
                mNetwork.add(
                        new Message.FenceResponse(
                                fence.exchange(),
                                guard.ledger()
                                        .fence(fence.exchange().attempt(), guard.mClockMillis)));
            }
        } else if (message instanceof Message.Request request) {
            if (request.reaches(guard.mRun)) {
                guard.onRequest(message.exchange());
            }
        } else {
            guard.onCancel(message.exchange());
        }
    }

    private GuardModel guardOf(Message message) {
        return mGuards.get(message.exchange().guard());
    }

    private EntryModel entryOf(Message message) {
        return mEntryOf.get(message.exchange().submission().mId);
    }

    private void drain() {
        mEntries.forEach(entry -> entry.mPaused = false);
        mGuards.forEach(guard -> guard.mPaused = false);
        for (int round = 0; round < DRAIN_ROUNDS; round++) {
            while (!mNetwork.isEmpty()) {
                deliver(mNetwork.remove(0));
            }
            mGuards.forEach(World::drainGuard);
            for (EntryModel entry : mEntries) {
                entry.mClockMillis += DRAIN_MILLIS;
                entry.giveUp(0);
            }
        }
        mGuards.forEach(
                guard -> mOracle.require(guard.working() == 0, "a guard holds work for ever"));
    }

    private static void drainGuard(GuardModel guard) {
        guard.start(0);
        while (!guard.mTargetInbox.isEmpty()) {
            guard.targetRuns(0);
        }
        guard.targetAnswers(0, false);
        moveGuardClock(guard, DRAIN_MILLIS);
    }
}
