package org.apricotgauge.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvStandin;

/**
 * Measures the processor time of a node's process: until it is ready, at rest, and for its first
 * and later requests. Nodes run as {@code deploy/system.toml} says, at loopback addresses.
 */
public final class MeasureProcessor {
    private static final Setting<Integer> NODES =
            Setting.withDefault(
                    "nodes", SettingKinds.integer("nodes", 2, 12), 6, "Number of nodes.");
    private static final Setting<Integer> TARGETS =
            Setting.withDefault(
                    "other-targets",
                    SettingKinds.integer("targets", 0, 200),
                    0,
                    "Targets of another service, which register as well.");
    private static final Setting<Integer> COLD_TARGETS =
            Setting.withDefault(
                    "cold-targets",
                    SettingKinds.integer("targets", 0, 200),
                    0,
                    "Those of the other targets that write once a second, as after a start.");
    private static final Setting<Integer> REST_SECONDS =
            Setting.withDefault(
                    "rest-seconds", SettingKinds.integer("seconds", 1, 300), 20, "Time at rest.");
    private static final Setting<Integer> REQUESTS =
            Setting.withDefault(
                    "requests",
                    SettingKinds.integer("requests", 0, 10_000),
                    3_000,
                    "Requests sent to each node.");
    private static final Setting<Integer> RATE =
            Setting.withDefault(
                    "rate",
                    SettingKinds.integer("requests a second", 1, 100),
                    50,
                    "Requests a second sent to each node, after the first hundred.");
    private static final Setting<Optional<Path>> BUILD =
            Setting.optional(
                    "build",
                    SettingKinds.path(),
                    "Root of the built checkout that nodes run; this one by default.");

    private static final String SERVICE = "desk";
    private static final String OTHER_SERVICE = "cart";
    private static final int CALLER_PORT = 21_011;
    private static final int GUARD_PORT = 21_012;
    private static final int ADMIN_PORT = 21_013;
    private static final int REPORT_PORT = 21_014;
    private static final int CRASH_PORT = 21_015;
    private static final int FIRST_NETWORK = 10;
    private static final int NETWORKS = 240;
    private static final int SLOTS = 16;
    private static final int FIRST_RATE = 10;
    private static final int[] STAGES = {100, 1_000, 3_000, 10_000};
    private static final long READY_SECONDS = 60;
    private static final long READY_POLL_MILLIS = 50;
    private static final long END_SECONDS = 10;
    private static final int SHOWN_THREADS = 8;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final SettingValues mValues;
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final List<Process> mNodes = new ArrayList<>();
    private final Map<Integer, Integer> mAnswers = new ConcurrentHashMap<>();
    private final AtomicInteger mPending = new AtomicInteger();
    private final AtomicInteger mNextId = new AtomicInteger();
    private final KvStandin mPlatform;
    private long mWrites;

    private MeasureProcessor(SettingValues values, KvStandin platform) {
        mValues = values;
        mPlatform = platform;
    }

    /** Runs the program. */
    public static void main(String[] args) {
        new Command<>(
                        "measure-processor",
                        "Measures the processor time of a node's process.",
                        List.of(NODES, TARGETS, COLD_TARGETS, REST_SECONDS, REQUESTS, RATE, BUILD),
                        values -> values)
                .runAndExit(args, MeasureProcessor::run);
    }

    private static ExitCode run(SettingValues values) throws IOException, InterruptedException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        try (KvStandin platform = KvStandin.start("0.0.0.0", 0)) {
            MeasureProcessor measurement = new MeasureProcessor(values, platform);
            try {
                measurement.measure();
            } finally {
                measurement.end();
            }
        }
        return ExitCode.OK;
    }

    private void measure() throws IOException, InterruptedException {
        mPlatform.publishConfiguration(1, SERVICE, List.of(KvStandin.PATH));
        registerTargets();
        mTimer.scheduleAtFixedRate(this::writeColdTargets, 1, 1, TimeUnit.SECONDS);
        for (int node = 0; node < mValues.get(NODES); node++) {
            mNodes.add(startNode(node));
        }
        awaitReady();
        ProcessorTimes started = times();
        print("start, s a node", started, MILLIS_PER_SECOND);
        mTimer.scheduleAtFixedRate(this::askReadiness, 1, 1, TimeUnit.SECONDS);
        TimeUnit.SECONDS.sleep(mValues.get(REST_SECONDS));
        ProcessorTimes rested = times();
        print("rest, ms a second", rested.minus(started), mValues.get(REST_SECONDS));
        int sent = 0;
        for (int stage : STAGES) {
            int requests = Math.min(stage, mValues.get(REQUESTS));
            if (requests > sent) {
                ProcessorTimes before = times();
                send(requests - sent, sent == 0 ? FIRST_RATE : mValues.get(RATE));
                print(
                        "requests %d to %d, ms each".formatted(sent + 1, requests),
                        times().minus(before),
                        requests - sent);
                sent = requests;
            }
        }
        print("all, s a node", times(), MILLIS_PER_SECOND);
        System.out.println("answers by status, 0 for none: " + new TreeMap<>(mAnswers));
    }

    // Each run has a network of its own, so that several can run side by side.
    private static String host(int number) {
        long network = FIRST_NETWORK + ProcessHandle.current().pid() % NETWORKS;
        return "127.%d.77.%d".formatted(network, number + 1);
    }

    private Process startNode(int node) throws IOException {
        String host = host(node);
        Map<String, String> settings =
                Map.ofEntries(
                        Map.entry("{{zone}}", "hall-" + node % 3),
                        Map.entry("{{service}}", SERVICE),
                        Map.entry("{{listenAddresses.outbound}}", host + ':' + CALLER_PORT),
                        Map.entry("{{listenAddresses.inbound}}", host + ':' + GUARD_PORT),
                        Map.entry("{{listenAddresses.ready}}", host + ':' + ADMIN_PORT),
                        Map.entry("{{platform.address}}", "127.0.0.1:" + mPlatform.port()),
                        Map.entry("{{ipAddress}}", host),
                        Map.entry("{{internalPorts.0}}", "" + REPORT_PORT),
                        Map.entry("{{internalPorts.1}}", "" + CRASH_PORT));
        Path build = mValues.get(BUILD).orElse(Path.of(""));
        String command = commandLine(build);
        for (Map.Entry<String, String> setting : settings.entrySet()) {
            command = command.replace(setting.getKey(), setting.getValue());
        }
        // Settings of limits and bounds are left at their defaults.
        List<String> words = List.of(command.replaceAll("\\{\\{[^}]*}}", "").split(" "));
        return new ProcessBuilder(words)
                .directory(build.toAbsolutePath().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static String commandLine(Path build) throws IOException {
        String key = "run = \"";
        return Files.readAllLines(build.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith(key))
                .map(line -> line.substring(key.length(), line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow(() -> new IOException("deploy/system.toml has no line " + key));
    }

    private void registerTargets() {
        for (int node = 0; node < mValues.get(NODES); node++) {
            register("i-" + node, SERVICE, node, 1);
        }
        for (int other = 0; other < mValues.get(TARGETS); other++) {
            register("j-" + other, OTHER_SERVICE, mValues.get(NODES) + other, 1);
        }
    }

    private void writeColdTargets() {
        mWrites++;
        int cold = Math.min(mValues.get(COLD_TARGETS), mValues.get(TARGETS));
        for (int other = 0; other < cold; other++) {
            register("j-" + other, OTHER_SERVICE, mValues.get(NODES) + other, 1 + mWrites);
        }
    }

    private void register(String name, String service, int number, long sequence) {
        mPlatform.registerReady(
                name,
                service,
                host(number) + ':' + mPlatform.port(),
                "hall-" + number % 3,
                SLOTS,
                sequence);
    }

    private void awaitReady() throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (int node = 0; node < mNodes.size(); node++) {
            while (!isReady(node)) {
                if (System.nanoTime() > untilNanos || !mNodes.get(node).isAlive()) {
                    throw new IOException("node " + node + " is not ready in time");
                }
                TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
            }
        }
    }

    private boolean isReady(int node) {
        return ask(node, ADMIN_PORT, KvDialect.READY_PATH).join() == 200;
    }

    private void askReadiness() {
        for (int node = 0; node < mNodes.size(); node++) {
            ask(node, ADMIN_PORT, KvDialect.READY_PATH);
        }
    }

    /** Returns a response's status, 0 if there is none. */
    private CompletableFuture<Integer> ask(int node, int port, String path) {
        URI uri = URI.create("http://" + host(node) + ':' + port + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofSeconds(END_SECONDS))
                        .header("Host", KvStandin.HOST)
                        .header(KvDialect.REQUEST_ID, "m-" + mNextId.incrementAndGet())
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> failure == null ? response.statusCode() : 0);
    }

    private void send(int requests, int rate) throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(1) * i / rate;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNanos - System.nanoTime()));
            for (int node = 0; node < mNodes.size(); node++) {
                mPending.incrementAndGet();
                ask(node, CALLER_PORT, KvStandin.PATH + i).thenAccept(this::onAnswered);
            }
        }
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(END_SECONDS);
        while (mPending.get() > 0 && System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    private void onAnswered(int status) {
        mPending.decrementAndGet();
        mAnswers.merge(status, 1, Integer::sum);
    }

    /** Returns the sum over all nodes. */
    private ProcessorTimes times() throws IOException {
        ProcessorTimes sum = new ProcessorTimes(0, Map.of());
        for (Process node : mNodes) {
            sum = sum.plus(ProcessorTimes.read(node.pid()));
        }
        return sum;
    }

    private void print(String what, ProcessorTimes times, double unit) {
        double divisor = unit * mNodes.size();
        System.out.printf("%-32s %8.3f%n", what, times.millis() / divisor);
        times.byThread().entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
                .limit(SHOWN_THREADS)
                .forEach(
                        thread ->
                                System.out.printf(
                                        "  %-30s %8.3f%n",
                                        thread.getKey(), thread.getValue() / divisor));
    }

    private void end() throws InterruptedException {
        mTimer.shutdownNow();
        mNodes.forEach(Process::destroyForcibly);
        for (Process node : mNodes) {
            node.waitFor(END_SECONDS, TimeUnit.SECONDS);
        }
    }
}
