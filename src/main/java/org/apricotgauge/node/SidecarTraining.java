package org.apricotgauge.node;

import static org.eclipse.jetty.http.HttpHeader.AUTHORIZATION;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.apricotgauge.cli.CommandOutcome;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvStandin;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Runs a sidecar once with a stand-in of its platform, so that the build can archive the classes
 * that it loads (class data sharing, {@code -XX:ArchiveClassesAtExit}).
 *
 * <p>After a power failure all nodes start at once, and callers wait for them. A class or a call
 * site that is missing in the archive costs each node some milliseconds when it is first needed,
 * which is often during a failure, and the first such class opens its jar. So the run has what
 * nodes meet when they are not at rest: a second node, a member with a limit, requests that are
 * denied, fail or break, a question for readiness, a new configuration, a target that leaves, and
 * the second node's planned stop. The two nodes differ in their share of a processor, by which they
 * hand attempts over in the process or not.
 */
public final class SidecarTraining {
    private static final String HOST = "127.0.0.1";
    private static final String SECOND_HOST = "127.0.0.2";
    private static final String ANY_HOST = "0.0.0.0";
    private static final String SERVICE = "desk";
    private static final String SHARED_CPU = "0.25";
    private static final String WHOLE_CPU = "1";
    private static final String KEY = "training-member-key";
    private static final int CALLS = 50;
    private static final int FAILING_CALLS = 10;
    private static final int MAX_BYTES = 1_024;
    private static final long CALL_MILLIS = 6_000;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long RETRY_DELAY_MILLIS = 50;

    /** A change reaches all nodes within this time. */
    private static final long SITE_CHANGE_MILLIS = 1_500;

    private static final UpstreamClientFactory.Limits LIMITS =
            new UpstreamClientFactory.Limits(10_000, 2, 16);

    private SidecarTraining() {}

    /** Runs the training and exits the process; the exit code shows whether calls were served. */
    public static void main(String[] args) throws IOException {
        KvStandin platform = KvStandin.start(ANY_HOST, 0);
        int port = platform.port();
        platform.publishWithKey(SERVICE, List.of(HOST + ':' + port, SECOND_HOST + ':' + port), KEY);
        Ports ports = Ports.free();
        Thread trainer = new Thread(() -> System.exit(train(ports, platform).code()), "trainer");
        trainer.setDaemon(true);
        trainer.start();
        SidecarMain.main(flags(HOST, ports, port, SHARED_CPU).toArray(String[]::new));
    }

    /** The ports of a node; they are the same on all VMs. */
    private record Ports(int caller, int guard, int admin, int news, int crashNews) {
        private static Ports free() throws IOException {
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                for (int i = 0; i < 5; i++) {
                    sockets.add(new ServerSocket(0));
                }
                return new Ports(
                        sockets.get(0).getLocalPort(),
                        sockets.get(1).getLocalPort(),
                        sockets.get(2).getLocalPort(),
                        sockets.get(3).getLocalPort(),
                        sockets.get(4).getLocalPort());
            } finally {
                for (ServerSocket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    private static List<String> flags(String host, Ports ports, int platformPort, String cpuShare) {
        return List.of(
                "--failure-domain=hall",
                "--service=" + SERVICE,
                "--caller-address=" + host + ':' + ports.caller(),
                "--guard-address=" + host + ':' + ports.guard(),
                "--admin-address=" + host + ':' + ports.admin(),
                "--store-address=" + HOST + ':' + platformPort,
                "--news-address=" + host + ':' + ports.news(),
                "--crash-news-address=" + host + ':' + ports.crashNews(),
                "--cpu-share=" + cpuShare);
    }

    private static ExitCode train(Ports ports, KvStandin platform) {
        QueuedThreadPool threads = new QueuedThreadPool();
        ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler("training", true);
        UpstreamClientFactory clients = new UpstreamClientFactory(threads, timers, CALL_MILLIS);
        UpstreamClient client = clients.create(LIMITS);
        try {
            threads.start();
            timers.start();
            clients.start();
            Node second = startSecond(flags(SECOND_HOST, ports, platform.port(), WHOLE_CPU));
            boolean served =
                    callUntilServed(client, new Address(HOST, ports.caller()))
                            && callUntilServed(client, new Address(SECOND_HOST, ports.caller()));
            for (int i = 0; i < FAILING_CALLS; i++) {
                call(client, new Address(HOST, ports.caller()), KvStandin.FAILING_PATH);
                call(client, new Address(HOST, ports.caller()), KvStandin.BROKEN_PATH);
            }
            callOtherwise(client, ports);
            changeSite(platform);
            served &= callUntilServed(client, new Address(HOST, ports.caller()));
            second.drain();
            return served ? ExitCode.OK : ExitCode.NEGATIVE;
        } catch (Exception e) {
            System.err.println("training run failed: " + e);
            return ExitCode.NEGATIVE;
        }
    }

    /** Asks for readiness, sends a body, and sends a request without a key. */
    private static void callOtherwise(UpstreamClient client, Ports ports) {
        Address entry = new Address(HOST, ports.caller());
        call(
                client,
                UpstreamRequest.get(
                        new Address(HOST, ports.admin()), KvDialect.READY_PATH, HttpFields.EMPTY));
        call(client, UpstreamRequest.get(entry, KvStandin.PATH, headers().remove(AUTHORIZATION)));
        Content.Source body = Content.Source.from(ByteBuffer.wrap(new byte[MAX_BYTES]));
        call(client, new UpstreamRequest(entry, "POST", KvStandin.PATH, headers(), body));
    }

    private static void changeSite(KvStandin platform) {
        String leaving = SECOND_HOST + ':' + platform.port();
        platform.register("i-2", SERVICE, leaving, KvStandin.LEAVING, 2);
        platform.publishConfiguration(2, SERVICE, List.of(KvStandin.PATH, "/other/"));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SITE_CHANGE_MILLIS));
        platform.unregister("i-2");
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SITE_CHANGE_MILLIS));
    }

    private static Node startSecond(List<String> flags) throws IOException {
        CommandOutcome<SidecarSettings> outcome = SidecarSettings.command().parse(flags, Map.of());
        if (outcome instanceof CommandOutcome.Ready<SidecarSettings> ready) {
            return SidecarMain.start(ready.settings());
        }
        throw new IllegalStateException("flags are not accepted: " + outcome);
    }

    private static boolean callUntilServed(UpstreamClient client, Address address) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        int served = 0;
        while (served < CALLS && System.nanoTime() < deadlineNanos) {
            if (call(client, address, KvStandin.PATH)) {
                served++;
            } else {
                // The caller port opens shortly after the process starts.
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS));
            }
        }
        return served == CALLS;
    }

    private static HttpFields.Mutable headers() {
        HttpFields.Mutable headers = HttpFields.build().put(AUTHORIZATION, "Bearer " + KEY);
        KvStandin.address(headers, "training");
        return headers;
    }

    private static boolean call(UpstreamClient client, Address address, String path) {
        return call(client, UpstreamRequest.get(address, path, headers()));
    }

    private static boolean call(UpstreamClient client, UpstreamRequest request) {
        try {
            return client.fetch(request, MAX_BYTES, CALL_MILLIS)
                            .get(CALL_MILLIS, TimeUnit.MILLISECONDS)
                            .status()
                    == HttpStatus.OK_200;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
