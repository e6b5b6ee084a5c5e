package org.apricotgauge.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.config.PatchOperation;
import org.apricotgauge.model.Address;
import org.apricotgauge.node.Node;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.standin.Fault;
import org.apricotgauge.standin.LoadGenerator;
import org.apricotgauge.standin.LoadPlan;
import org.apricotgauge.standin.LoadReport;
import org.apricotgauge.standin.PlatformMode;
import org.apricotgauge.standin.TargetStandin;

/** Three nodes, six targets and a platform, to which a seed does one thing after the other. */
final class SoakFleet implements AutoCloseable {
    private static final int VMS = 3;
    private static final int TARGETS_PER_VM = 2;
    private static final int SLOTS = 7;
    private static final long SERVICE_MICROS = 5_000;
    private static final long TIMEOUT_MILLIS = 25_000;
    private static final int ORDER_PERCENT = 50;
    private static final int ANSWER_BYTES = 2_000;
    private static final long MIN_PAUSE_MILLIS = 500;
    private static final long MAX_PAUSE_MILLIS = 4_000;
    private static final long READY_MILLIS = 20_000;
    private static final long READY_POLL_MILLIS = 20;
    private static final int MIN_RETRY_PERCENT = 5;
    private static final int MAX_RETRY_PERCENT = 50;

    private final LocalFleet mFleet = new LocalFleet();
    private final SplittableRandom mRandom;
    private final List<TargetStandin> mTargets = new ArrayList<>();
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<SoakStep, Integer> mSteps = new EnumMap<>(SoakStep.class);
    private final Map<Node, Long> mHighest = new HashMap<>();
    private final Map<SoakStep, Action> mActions = actions();
    private int mNotReady;
    private int mVersionFalls;
    private int mBroken;

    SoakFleet(long seed) throws IOException {
        mRandom = new SplittableRandom(seed);
        for (int vm = 0; vm < VMS; vm++) {
            mNodes.add(mFleet.startNode(nameOf(vm)));
            for (int i = 0; i < TARGETS_PER_VM; i++) {
                startTarget(vm, seed);
            }
        }
        mFleet.settle();
    }

    private static String nameOf(int vm) {
        return "vm-" + vm;
    }

    private void startTarget(int vm, long seed) throws IOException {
        String id = "t-" + mTargets.size();
        TargetStandin target =
                TargetStandin.start(
                        new TargetStandin.Settings(
                                id, "127.0.0.1", 0, SLOTS, SERVICE_MICROS, seed + mTargets.size()));
        mTargets.add(target);
        mFleet.putTarget(id, nameOf(vm), target.port(), SLOTS);
    }

    SoakResult run(int rate, int seconds) throws IOException, InterruptedException {
        List<Address> entries =
                mNodes.stream().map(node -> new Address("127.0.0.1", node.callerPort())).toList();
        LoadPlan plan =
                new LoadPlan(
                        entries,
                        rate,
                        seconds,
                        ORDER_PERCENT,
                        "/lookup",
                        "/once/order",
                        ANSWER_BYTES,
                        TIMEOUT_MILLIS);
        LoadGenerator generator = new LoadGenerator("soak", plan, mRandom.nextLong());
        CompletableFuture<LoadReport> load = CompletableFuture.supplyAsync(() -> run(generator));
        while (!load.isDone()) {
            step();
            check();
            long pauseMillis = mRandom.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            check();
        }
        try {
            return new SoakResult(load.get(), runs(), mSteps, mNotReady, mVersionFalls, mBroken);
        } catch (ExecutionException e) {
            throw new IOException("load failed", e);
        }
    }

    private static LoadReport run(LoadGenerator generator) {
        try {
            return generator.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("load interrupted", e);
        }
    }

    private void step() throws IOException, InterruptedException {
        SoakStep[] all = SoakStep.values();
        SoakStep step = all[mRandom.nextInt(all.length)];
        mSteps.merge(step, 1, Integer::sum);
        mActions.get(step).act();
    }

    /** What a step does. */
    @FunctionalInterface
    private interface Action {
        void act() throws IOException, InterruptedException;
    }

    private Map<SoakStep, Action> actions() {
        Map<SoakStep, Action> actions = new EnumMap<>(SoakStep.class);
        actions.put(SoakStep.TARGET_FAILS, () -> fault(new Fault(70, 0, 1, 0, 0)));
        actions.put(SoakStep.TARGET_SLOWS, () -> fault(new Fault(0, 0, 10, 0, 0)));
        actions.put(SoakStep.TARGET_STALLS, () -> fault(new Fault(0, 0, 1, 20, 0)));
        actions.put(SoakStep.TARGET_TRUNCATES, () -> fault(new Fault(0, 0, 1, 0, 30)));
        actions.put(SoakStep.TARGET_SHEDS, () -> fault(new Fault(0, 50, 1, 0, 0)));
        actions.put(
                SoakStep.TARGETS_RECOVER,
                () -> mTargets.forEach(target -> target.setFault(Fault.NONE)));
        actions.put(SoakStep.NODE_RESTARTS, () -> restart(true));
        actions.put(SoakStep.NODE_DIES, () -> restart(false));
        actions.put(SoakStep.PLATFORM_DOWN, () -> platform(PlatformMode.DOWN));
        actions.put(SoakStep.PLATFORM_STALE, () -> platform(PlatformMode.STALE));
        actions.put(SoakStep.PLATFORM_UP, () -> platform(PlatformMode.UP));
        actions.put(SoakStep.PATCH, this::patch);
        return actions;
    }

    private void platform(PlatformMode mode) {
        mFleet.platform().setMode(mode);
    }

    private void patch() {
        int percent = mRandom.nextInt(MIN_RETRY_PERCENT, MAX_RETRY_PERCENT);
        mFleet.publish(new PatchOperation.SetRetryBudget(LocalFleet.SERVICE, percent));
    }

    private void fault(Fault fault) {
        mTargets.get(mRandom.nextInt(mTargets.size())).setFault(fault);
    }

    /** Ends one node, gently or not, and starts it again at the same caller port. */
    private void restart(boolean gently) throws IOException, InterruptedException {
        int vm = mRandom.nextInt(VMS);
        Node node = mNodes.get(vm);
        // Read while it is open: a node that has stopped no longer knows which free port it had.
        int callerPort = node.callerPort();
        if (gently) {
            node.drain();
        } else {
            node.close();
        }
        Node fresh = mFleet.restartNode(nameOf(vm), callerPort);
        mNodes.set(vm, fresh);
        awaitServing(fresh);
    }

    // As whoever restarts a fleet waits for each node's readiness: were all nodes to end before one
    // is ready again while the platform is down, nobody would know the configuration.
    private void awaitServing(Node node) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (node.phase() != NodePhase.SERVING && System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
        if (node.phase() != NodePhase.SERVING) {
            mNotReady++;
        }
    }

    private void check() {
        for (Node node : mNodes) {
            long version = node.version();
            if (version < mHighest.getOrDefault(node, 0L)) {
                mVersionFalls++;
            }
            mHighest.put(node, version);
            if (node.brokenInvariant().isDone()) {
                mBroken++;
            }
        }
    }

    private Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        for (TargetStandin target : mTargets) {
            target.runs()
                    .lines()
                    .map(line -> line.split(" ", 2))
                    .forEach(
                            words ->
                                    runs.merge(words[0], Integer.parseInt(words[1]), Integer::sum));
        }
        return runs;
    }

    @Override
    public void close() {
        mFleet.close();
        mTargets.forEach(TargetStandin::close);
    }
}
