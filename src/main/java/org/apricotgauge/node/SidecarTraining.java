package org.apricotgauge.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.platform.kv.KvStandin;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Runs a sidecar once with a stand-in of its platform, so that the build can archive the classes
 * that it loads (class data sharing, {@code -XX:ArchiveClassesAtExit}).
 *
 * <p>After a power failure all nodes start at once, and callers wait for them. With the archive a
 * start takes 1.0 s of processor time instead of 1.4 s (means of three starts each on a busy
 * machine, from the process's own clock).
 */
public final class SidecarTraining {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String SERVICE = "desk";
    private static final int CALLS = 50;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long RETRY_DELAY_MILLIS = 50;
    private static final HttpClientFactory.Limits LIMITS =
            new HttpClientFactory.Limits(1_000, 10_000, 2, 16);

    private SidecarTraining() {}

    /** Runs the training and exits the process; the exit code shows whether calls were served. */
    public static void main(String[] args) throws IOException {
        KvStandin platform = KvStandin.start(LOOPBACK, 0);
        platform.publish(LOOPBACK, SERVICE);
        int callerPort = freePort();
        Thread trainer = new Thread(() -> System.exit(train(callerPort).code()), "trainer");
        trainer.setDaemon(true);
        trainer.start();
        SidecarMain.main(flags(callerPort, platform.port()).toArray(String[]::new));
    }

    private static List<String> flags(int callerPort, int platformPort) throws IOException {
        return List.of(
                "--failure-domain=hall",
                "--service=" + SERVICE,
                "--caller-address=" + LOOPBACK + ':' + callerPort,
                "--guard-address=" + LOOPBACK + ':' + freePort(),
                "--admin-address=" + LOOPBACK + ':' + freePort(),
                "--store-address=" + LOOPBACK + ':' + platformPort,
                "--news-address=" + LOOPBACK + ':' + freePort(),
                "--crash-news-address=" + LOOPBACK + ':' + freePort());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static ExitCode train(int callerPort) {
        QueuedThreadPool threads = new QueuedThreadPool();
        ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler("training", true);
        HttpClient client = new HttpClientFactory(threads, timers).create("training", LIMITS);
        try {
            threads.start();
            timers.start();
            HttpClientFactory.start(client);
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            int served = 0;
            while (served < CALLS && System.nanoTime() < deadlineNanos) {
                served += isServed(client, callerPort) ? 1 : 0;
            }
            return served == CALLS ? ExitCode.OK : ExitCode.NEGATIVE;
        } catch (Exception e) {
            System.err.println("training run failed: " + e);
            return ExitCode.NEGATIVE;
        }
    }

    private static boolean isServed(HttpClient client, int callerPort) {
        try {
            ContentResponse response =
                    client.newRequest(LOOPBACK, callerPort)
                            .path(KvStandin.PATH)
                            .headers(headers -> KvStandin.address(headers, "training"))
                            .send();
            if (response.getStatus() == HttpStatus.OK_200) {
                return true;
            }
        } catch (Exception e) {
            // The caller port opens shortly after the process starts.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS));
        }
        return false;
    }
}
