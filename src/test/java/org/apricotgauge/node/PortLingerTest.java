package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptId;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.ManualTicker;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** The guard's port between the drain and the end of the process. */
class PortLingerTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int STOP_MILLIS = 5_000;
    private static final String HOST = "127.0.0.1";

    private final ManualTicker mTicker = new ManualTicker();

    // Guards against an attempt that was not started and ends as "unknown", because it met the end
    // of an idle connection while its fence was refused.
    @Test
    void entryLeavesIdleConnectionWhileItsFenceIsStillAnswered() throws Exception {
        try (LocalFleet fleet = new LocalFleet()) {
            Node node = fleet.startNode("vm-a");
            fleet.settle();
            int port = node.guardPort();
            try (Socket idle = connect(port)) {
                String stamp = header(ask(idle, GuardHandler.CONTROL_STAMP, ""), GuardStamp.HEADER);
                CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> drain(node));
                assertThat(idle.getInputStream().read()).isEqualTo(-1);

                try (Socket another = connect(port)) {
                    String head =
                            ask(
                                    another,
                                    GuardHandler.CONTROL_FENCE,
                                    Attempt.HEADER + ": " + attempt(stamp) + "\r\n");
                    assertThat(head).startsWith("HTTP/1.1 200").contains("Connection: close");
                    String body =
                            new String(
                                    another.getInputStream().readAllBytes(),
                                    StandardCharsets.US_ASCII);
                    assertThat(body).startsWith(FenceAnswer.State.NOT_RUN.name());
                }
                drained.join();
            }
        }
    }

    // Guards against a new connection that ends before the fence for which it was opened.
    @Test
    void onlyConnectionsThatWereUsedEndUntilTheLingerIsOver() throws Exception {
        StopSchedule stop = new StopSchedule(mTicker);
        NodeHttp http = new NodeHttp("a");
        http.start();
        Server server = http.servers().create(HOST, 0, new Empty(), () -> {});
        server.start();
        int port = HttpServerFactory.portOf(server);
        try (Socket used = connect(port);
                Socket fresh = connect(port)) {
            ask(used, GuardHandler.CONTROL_STAMP, "");
            stop.begin(STOP_MILLIS);
            CompletableFuture<Void> lingered =
                    CompletableFuture.runAsync(() -> await(new PortLinger(stop, server)));

            assertThat(used.getInputStream().read()).isEqualTo(-1);
            assertThat(ask(fresh, GuardHandler.CONTROL_STAMP, "")).startsWith("HTTP/1.1 200");
            assertThat(lingered).isNotDone();
            mTicker.advanceMillis(PortLinger.LINGER_MILLIS);
            lingered.join();
        } finally {
            server.stop();
            http.stop();
        }
    }

    // Guards against a linger that lasts beyond the end of the process.
    @Test
    void lingerEndsWithTheSchedule() throws Exception {
        StopSchedule stop = new StopSchedule(mTicker);
        stop.begin(0);

        new PortLinger(stop).await();

        assertThat(stop.remainingMillis()).isZero();
    }

    /** Answers each request with an empty 200. */
    private static final class Empty extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            callback.succeeded();
            return true;
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(HOST, port));
        return socket;
    }

    private static String ask(Socket socket, String control, String headers) throws IOException {
        String request =
                "GET / HTTP/1.1\r\nHost: guard\r\n"
                        + HeaderNames.CONTROL
                        + ": "
                        + control
                        + "\r\n"
                        + headers
                        + "\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return readHead(socket.getInputStream());
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.startsWith(name + ": "))
                .findFirst()
                .orElseThrow()
                .substring(name.length() + 2);
    }

    private static Attempt attempt(String stampText) {
        GuardStamp stamp = GuardStamp.parse(stampText).orElseThrow();
        return new Attempt(
                new AttemptId("raw", 1, 1),
                stamp.incarnation(),
                stamp.guardMillis() + TIMEOUT_MILLIS);
    }

    private static void drain(Node node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(PortLinger linger) {
        try {
            linger.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
