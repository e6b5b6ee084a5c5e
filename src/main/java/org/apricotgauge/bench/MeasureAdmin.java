package org.apricotgauge.bench;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.FenceResult;
import org.apricotgauge.event.FenceUsed;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.event.TargetEjected;
import org.apricotgauge.operator.AdminServer;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.NodeStatus;
import org.apricotgauge.operator.OutcomeKind;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.operator.Readiness;
import org.apricotgauge.operator.ServiceStatus;
import org.apricotgauge.time.ManualTicker;

/**
 * Measures what the administration API and the recording of events cost a node.
 *
 * <pre>{@code
 * bin/measure-admin
 * }</pre>
 *
 * <p>Asks each path over the loopback, one request after another, at several numbers of services;
 * processor time is that of the server's threads.
 */
public final class MeasureAdmin {
    private static final int REQUESTS = 500;
    private static final int WARM_UP = 1_500;
    private static final int WINDOWS = 64;
    private static final int RING = 4_096;
    private static final int RECORDS = 1_000_000;
    private static final int TARGETS_PER_SERVICE = 19;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final int SERVICES_IN_WINDOW = 2_400;
    private static final List<String> SERVICE_NAMES =
            IntStream.range(0, SERVICES_IN_WINDOW).mapToObj(i -> "service-" + i).toList();

    private MeasureAdmin() {}

    /** Runs the measurement. */
    public static void main(String[] args) throws IOException, InterruptedException {
        measureEvents();
        measureWindows();
        System.out.println("services  path            bytes  processor time a request, us");
        for (int services : new int[] {10, 100, 1_000}) {
            measure(services);
        }
    }

    private static void measureEvents() {
        EventRing ring = ring();
        for (int round = 0; round < 2; round++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < RECORDS; i++) {
                ring.record(new FenceUsed("s", "t", "request", FenceResult.NOT_RUN));
            }
            double nanos = (double) (System.nanoTime() - startNanos) / RECORDS;
            print("%s: recording one event %.0f ns", round == 0 ? "warming up" : "measured", nanos);
        }
    }

    private static EventRing ring() {
        return new EventRing("vm-1", 1, RING, new HybridClock(InstantSource.system()));
    }

    private static void measure(int services) throws IOException, InterruptedException {
        ManualTicker ticker = new ManualTicker();
        AdminServer server = new AdminServer(sources(services, ticker), "127.0.0.1", 0, ticker);
        server.start();
        try {
            HttpClient client = HttpClient.newHttpClient();
            for (String path :
                    List.of("/live", "/status", "/events?limit=500", "/metrics", "/metrics.json")) {
                URI uri = URI.create("http://127.0.0.1:" + server.port() + path);
                ask(client, uri, WARM_UP, ticker);
                long startNanos = cpuNanos();
                int bytes = ask(client, uri, REQUESTS, ticker);
                double micros = (cpuNanos() - startNanos) / NANOS_PER_MICRO / REQUESTS;
                print("%8d  %-18s %8d  %8.0f", services, path, bytes, micros);
            }
        } finally {
            server.stop();
        }
    }

    private static int ask(HttpClient client, URI uri, int requests, ManualTicker ticker)
            throws IOException, InterruptedException {
        int bytes = 0;
        for (int i = 0; i < requests; i++) {
            ticker.advanceMillis(1_000); // what the bounds on requests a second allow
            HttpResponse<byte[]> response =
                    client.send(
                            HttpRequest.newBuilder(uri).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 200) {
                throw new IOException(uri + " answered " + response.statusCode());
            }
            bytes = response.body().length;
        }
        return bytes;
    }

    private static AdminSources sources(int services, ManualTicker ticker) {
        OutcomeWindows windows = new OutcomeWindows(ticker, WINDOWS);
        MetricRegistry metrics = new MetricRegistry();
        List<ServiceStatus> statuses = new ArrayList<>();
        for (int version = 1; version <= WINDOWS; version++) {
            windows.versionInForce(version);
            IntStream.range(0, services)
                    .forEach(i -> windows.count("service-" + i, OutcomeKind.ANSWERED));
        }
        for (int i = 0; i < services; i++) {
            statuses.add(
                    new ServiceStatus(
                            "service-" + i,
                            TARGETS_PER_SERVICE,
                            List.of(),
                            i % 10 == 0 ? List.of("target-1") : List.of()));
            metrics.timer("service-" + i + ".wait").update(Duration.ofMillis(i));
            metrics.counter("service-" + i + ".in.flight").inc();
        }
        EventRing ring = ring();
        IntStream.range(0, RING)
                .forEach(i -> ring.record(new TargetEjected("service-1", "target-" + i, "why")));
        return new AdminSources(
                () -> new Readiness(true, "serving"),
                () -> status(statuses, windows),
                ring::read,
                AdminSources.QuarantineSource.empty(),
                List::of,
                metrics);
    }

    private static NodeStatus status(List<ServiceStatus> services, OutcomeWindows windows) {
        return new NodeStatus(
                "vm-1",
                "a",
                "0.1.0",
                1,
                NodePhase.SERVING,
                WINDOWS,
                "digest",
                WINDOWS,
                services,
                windows.read());
    }

    private static long cpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith("admin"))
                .mapToLong(thread -> Math.max(0, threads.getThreadCpuTime(thread.getId())))
                .sum();
    }

    /** Memory of the windows at the most services that a node's requests reach in one of them. */
    private static void measureWindows() {
        long before = usedBytes();
        OutcomeWindows windows = new OutcomeWindows(new ManualTicker(), WINDOWS);
        for (int version = 1; version <= WINDOWS; version++) {
            windows.versionInForce(version);
            for (int i = 0; i < SERVICES_IN_WINDOW; i++) {
                windows.count(SERVICE_NAMES.get(i), OutcomeKind.ANSWERED);
            }
        }
        double megabytes = (usedBytes() - before) / BYTES_PER_MEGABYTE;
        print("%d windows of %d services each: %.1f MB", WINDOWS, SERVICES_IN_WINDOW, megabytes);
        if (windows.read().size() != WINDOWS) {
            throw new IllegalStateException("windows are missing");
        }
    }

    private static long usedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
