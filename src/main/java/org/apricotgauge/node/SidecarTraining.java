package org.apricotgauge.node;

import java.io.IOException;
import java.net.ServerSocket;
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
import org.apricotgauge.platform.kv.KvStandin;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Runs a sidecar once with a stand-in of its platform, so that the build can archive the classes
 * that it loads (class data sharing, {@code -XX:ArchiveClassesAtExit}).
 *
 * <p>After a power failure all nodes start at once, and callers wait for them. A class or a call
 * site that is missing in the archive costs each node some milliseconds when it is first needed,
 * which is often during a failure. So the run has a second node, requests that fail or break, and
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
    private static final int CALLS = 50;
    private static final int FAILING_CALLS = 10;
    private static final int MAX_BYTES = 1_024;
    private static final long CALL_MILLIS = 6_000;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long RETRY_DELAY_MILLIS = 50;
    private static final UpstreamClientFactory.Limits LIMITS =
            new UpstreamClientFactory.Limits(10_000, 2, 16);

    private SidecarTraining() {}

    /** Runs the training and exits the process; the exit code shows whether calls were served. */
    public static void main(String[] args) throws IOException {
        KvStandin platform = KvStandin.start(ANY_HOST, 0);
        int port = platform.port();
        platform.publish(SERVICE, List.of(HOST + ':' + port, SECOND_HOST + ':' + port));
        Ports ports = Ports.free();
        Thread trainer = new Thread(() -> System.exit(train(ports, port).code()), "trainer");
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

    private static ExitCode train(Ports ports, int platformPort) {
        QueuedThreadPool threads = new QueuedThreadPool();
        ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler("training", true);
        UpstreamClientFactory clients = new UpstreamClientFactory(threads, timers, CALL_MILLIS);
        UpstreamClient client = clients.create(LIMITS);
        try {
            threads.start();
            timers.start();
            clients.start();
            Node second = startSecond(flags(SECOND_HOST, ports, platformPort, WHOLE_CPU));
            boolean served =
                    callUntilServed(client, new Address(HOST, ports.caller()))
                            && callUntilServed(client, new Address(SECOND_HOST, ports.caller()));
            for (int i = 0; i < FAILING_CALLS; i++) {
                call(client, new Address(HOST, ports.caller()), KvStandin.FAILING_PATH);
                call(client, new Address(HOST, ports.caller()), KvStandin.BROKEN_PATH);
            }
            second.drain();
            return served ? ExitCode.OK : ExitCode.NEGATIVE;
        } catch (Exception e) {
            System.err.println("training run failed: " + e);
            return ExitCode.NEGATIVE;
        }
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

    private static boolean call(UpstreamClient client, Address address, String path) {
        HttpFields.Mutable headers = HttpFields.build();
        KvStandin.address(headers, "training");
        try {
            return client.fetch(UpstreamRequest.get(address, path, headers), MAX_BYTES, CALL_MILLIS)
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
