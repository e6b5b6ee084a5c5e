package org.apricotgauge.bench.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.apricotgauge.bench.soak.SoakCaller.Habit;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvStandin;
import org.apricotgauge.platform.kv.SiteRoute;
import org.jboss.logging.Logger;

/**
 * A fleet of processes with its platform, targets and callers, all at loopback addresses.
 *
 * <pre>{@code
 * try (SoakFleet fleet = new SoakFleet(settings)) {
 *     SoakResult result = fleet.run();
 * }
 * }</pre>
 */
public final class SoakFleet implements AutoCloseable {
    /** Time from SIGTERM until the platform kills a process, in milliseconds. */
    static final long STOP_MILLIS = 6_000;

    private static final Logger LOGGER = Logger.getLogger(SoakFleet.class);
    private static final List<String> SERVICES = List.of("desk", "cart");
    private static final int CALLER_PORT = 21_001;
    private static final int GUARD_PORT = 21_002;
    private static final int ADMIN_PORT = 21_003;
    private static final int REPORT_PORT = 21_004;
    private static final int CRASH_PORT = 21_005;
    private static final int TARGET_PORT = 21_006;
    private static final int FIRST_NETWORK = 10;
    private static final int NETWORKS = 240;
    private static final int VMS_PER_NETWORK = 200;
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long READY_MILLIS = 60_000;

    /** So many nodes start side by side. */
    private static final int START_TOGETHER = 40;

    /** Keeps what only some kinds of work draw from the draws that all have in common. */
    private static final long BURST_SEED = 0x6275727374L;

    private static final long LOOK_EVERY_MILLIS = 50;
    private static final long LAST_ANSWER_SECONDS = 20;
    private static final long LAST_RUN_MILLIS = 10_000;

    private final SoakSettings mSettings;
    private final long mStartNanos = System.nanoTime();
    private final Instant mStart = Instant.now();
    private final SplittableRandom mRandom;
    private final Series mSeries;
    private final Queue<Exchange> mExchanges = new ConcurrentLinkedQueue<>();
    private final Queue<RunRecord> mRuns = new ConcurrentLinkedQueue<>();
    private final Queue<Signal> mSignals = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mIsOver = new AtomicBoolean();
    private final List<SoakNode> mNodes = new ArrayList<>();
    private final List<SoakTarget> mTargets = new ArrayList<>();
    private final ExecutorService mTargetThreads = Executors.newCachedThreadPool();
    private final ExecutorService mCallerThreads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final SoakPlatform mPlatform;
    private final LoadAverage mLoadAverage = new LoadAverage();
    private final ScheduledExecutorService mLagTimer = Executors.newScheduledThreadPool(1);
    private final SoakLag mLag = new SoakLag(this::millis);

    /** Opens platform and targets; no node runs yet. */
    public SoakFleet(SoakSettings settings) throws IOException {
        mSettings = Checks.notNull("settings", settings);
        mRandom = new SplittableRandom(settings.seed());
        List<Series> all = settings.work().series();
        int drawn = mRandom.nextInt(all.size());
        mSeries = settings.series().orElse(all.get(drawn));
        Files.createDirectories(settings.logs());
        mPlatform = new SoakPlatform(KvStandin.start(host(0), 0), routes(), targets());
        mPlatform.configure();
        mPlatform.writeHeartbeats();
        mTimer.scheduleAtFixedRate(
                this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        for (int node = 0; node < settings.nodes(); node++) {
            mTargets.add(
                    new SoakTarget(
                            node,
                            SoakTarget.addressOf(host(node), TARGET_PORT),
                            this::millis,
                            mTargetThreads,
                            mRuns::add));
            mNodes.add(
                    new SoakNode(
                            node,
                            program(node),
                            settings.killMillis(),
                            mTimer,
                            this::millis,
                            mSignals::add));
        }
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }

    // Each soak has a network of its own, so that several can run side by side.
    private static String host(int node) {
        long network = FIRST_NETWORK + ProcessHandle.current().pid() % NETWORKS;
        return "127.%d.%d.%d"
                .formatted(network, node / VMS_PER_NETWORK, node % VMS_PER_NETWORK + 1);
    }

    private String domain(int node) {
        return "hall-" + node % mSettings.domains();
    }

    private String service(int node) {
        return SERVICES.get(node / mSettings.domains() % SERVICES.size());
    }

    private SoakNode.Program program(int node) {
        String host = host(node);
        List<String> flags =
                List.of(
                        "--failure-domain=" + domain(node),
                        "--service=" + service(node),
                        "--caller-address=" + host + ':' + CALLER_PORT,
                        "--guard-address=" + host + ':' + GUARD_PORT,
                        "--admin-address=" + host + ':' + ADMIN_PORT,
                        "--store-address=" + host(0) + ':' + mPlatform.port(),
                        "--news-address=" + host + ':' + REPORT_PORT,
                        "--crash-news-address=" + host + ':' + CRASH_PORT,
                        "--heartbeat-millis=" + HEARTBEAT_MILLIS,
                        "--stop-seconds=" + TimeUnit.MILLISECONDS.toSeconds(STOP_MILLIS));
        return new SoakNode.Program(
                mSettings.classPaths().get(node % mSettings.classPaths().size()), flags, log(node));
    }

    private Path log(int node) {
        return mSettings.logs().resolve("node-" + node + ".log");
    }

    private List<SiteRoute> routes() {
        List<SiteRoute> routes = new ArrayList<>();
        for (String service : SERVICES) {
            for (boolean isIdempotent : new boolean[] {true, false}) {
                routes.add(
                        new SiteRoute(
                                PlannedRequest.prefix(service, isIdempotent),
                                service,
                                isIdempotent,
                                mSettings.work().timeoutMillis()));
            }
        }
        return routes;
    }

    private List<SoakPlatform.Target> targets() {
        return IntStream.range(0, mSettings.nodes())
                .mapToObj(
                        node ->
                                new SoakPlatform.Target(
                                        service(node),
                                        host(node) + ':' + TARGET_PORT,
                                        domain(node)))
                .toList();
    }

    private void beat() {
        mLoadAverage.sample();
        mPlatform.writeHeartbeats();
    }

    Series series() {
        return mSeries;
    }

    /** Runs the load and the series of signals, and judges all requests. */
    public SoakResult run() throws IOException, InterruptedException {
        int notReady = start();
        if (notReady == 0) {
            mLag.start(mLagTimer);
            startCallers();
            sendSignals();
        }
        mIsOver.set(true);
        mCallerThreads.shutdown();
        if (!mCallerThreads.awaitTermination(LAST_ANSWER_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("a caller waits for an answer without end");
        }
        awaitLastRuns();
        Signals signals = new Signals(List.copyOf(mSignals));
        Judge judge = new Judge(signals, List.copyOf(mRuns), STOP_MILLIS);
        return new SoakResult(
                mExchanges.stream().map(judge::judge).toList(),
                signals,
                notReady,
                mLoadAverage.max(),
                mLag,
                NodeLogs.read(
                        IntStream.range(0, mNodes.size()).mapToObj(this::log).toList(), mStart));
    }

    /** Starts all nodes, and returns how many are not ready in time. */
    private int start() throws IOException {
        int notReady = 0;
        for (int from = 0; from < mNodes.size(); from += START_TOGETHER) {
            int to = Math.min(from + START_TOGETHER, mNodes.size());
            for (SoakNode node : mNodes.subList(from, to)) {
                node.start();
            }
            notReady += awaitReady(from, to);
        }
        return notReady;
    }

    /** A run that an entry gave up can go on, and has to be known to the judge. */
    private void awaitLastRuns() throws InterruptedException {
        long untilMillis = millis() + LAST_RUN_MILLIS;
        while (mTargets.stream().anyMatch(target -> target.running() > 0)
                && millis() < untilMillis) {
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MILLIS);
        }
    }

    private int awaitReady(int from, int to) throws IOException {
        int notReady = 0;
        long untilMillis = millis() + READY_MILLIS;
        for (int node = from; node < to; node++) {
            InetSocketAddress address = SoakTarget.addressOf(host(node), ADMIN_PORT);
            boolean isReady = isReady(address);
            while (!isReady && millis() < untilMillis) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_EVERY_MILLIS));
                isReady = isReady(address);
            }
            notReady += isReady ? 0 : 1;
        }
        return notReady;
    }

    private static boolean isReady(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, (int) HEARTBEAT_MILLIS);
            socket.setSoTimeout((int) HEARTBEAT_MILLIS);
            socket.getOutputStream()
                    .write(
                            "GET %s HTTP/1.1\r\nHost: node\r\n\r\n"
                                    .formatted(KvDialect.READY_PATH)
                                    .getBytes(StandardCharsets.US_ASCII));
            return new HttpReader(socket.getInputStream()).readHead().status() == 200;
        } catch (IOException e) {
            LOGGER.debugf("%s is not ready: %s", address, e);
            return false;
        }
    }

    private void startCallers() throws IOException {
        SoakCaller.Environment steady =
                new SoakCaller.Environment(this::millis, mIsOver::get, () -> true, mExchanges::add);
        List<CallerConnection.Pool> pools = new ArrayList<>();
        for (int node = 0; node < mNodes.size(); node++) {
            pools.add(new CallerConnection.Pool());
            for (int caller = 0; caller < mSettings.callers(); caller++) {
                List<Habit> habits = mSettings.work().habits();
                Habit habit = habits.get(caller % habits.size());
                startCaller(node, habit, pools.get(node), mRandom, steady);
            }
        }
        startBurstCallers(pools);
    }

    private void startBurstCallers(List<CallerConnection.Pool> pools) throws IOException {
        SplittableRandom random = new SplittableRandom(mSettings.seed() ^ BURST_SEED);
        long startMillis = millis();
        Bursts bursts = Bursts.plan(TimeUnit.SECONDS.toMillis(mSettings.seconds()), random.split());
        SoakCaller.Environment inBursts =
                new SoakCaller.Environment(
                        this::millis,
                        mIsOver::get,
                        () -> bursts.isOn(millis() - startMillis),
                        mExchanges::add);
        for (int node = 0; node < mNodes.size(); node++) {
            for (int caller = 0; caller < mSettings.burstCallers(); caller++) {
                startCaller(node, Habit.POOLED, pools.get(node), random, inBursts);
            }
        }
    }

    private void startCaller(
            int node,
            Habit habit,
            CallerConnection.Pool shared,
            SplittableRandom random,
            SoakCaller.Environment environment)
            throws IOException {
        SplittableRandom draws = random.split();
        mCallerThreads.execute(
                new SoakCaller(
                        node,
                        SoakTarget.addressOf(host(node), CALLER_PORT),
                        habit,
                        habit == Habit.POOLED ? shared : new CallerConnection.Pool(),
                        () -> mSettings.work().draw(SERVICES, draws),
                        random.split(),
                        environment));
    }

    private void sendSignals() throws IOException, InterruptedException {
        long loadMillis = TimeUnit.SECONDS.toMillis(mSettings.seconds());
        long startMillis = millis();
        List<PlannedSignal> plan =
                mSeries.plan(mSettings.nodes(), mSettings.domains(), loadMillis, mRandom.split());
        for (PlannedSignal signal : plan) {
            parkUntil(startMillis + signal.atMillis());
            if (signal.kind().isOfStore()) {
                change(signal);
            } else {
                mNodes.get(signal.node()).signal(signal);
            }
        }
        parkUntil(startMillis + loadMillis);
    }

    private void change(PlannedSignal planned) {
        mSignals.add(new Signal(planned.node(), planned.kind(), millis()));
        switch (planned.kind()) {
            case CONFIGURED -> mPlatform.configure();
            case TARGET_LEAVING -> mPlatform.setLeaving(planned.node(), true);
            case TARGET_READY -> mPlatform.setLeaving(planned.node(), false);
            default -> throw new IllegalArgumentException("not of the store: " + planned.kind());
        }
    }

    private void parkUntil(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, millis - millis()));
    }

    /** Ends all processes at once; none starts any more. */
    void endProcesses() {
        mNodes.forEach(SoakNode::close);
    }

    @Override
    public void close() throws IOException {
        mIsOver.set(true);
        endProcesses();
        mTimer.shutdownNow();
        mLagTimer.shutdownNow();
        mCallerThreads.shutdownNow();
        mTargetThreads.shutdownNow();
        for (SoakTarget target : mTargets) {
            target.close();
        }
        mPlatform.close();
    }
}
