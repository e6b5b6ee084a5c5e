package org.apricotgauge.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.standin.PlatformMode;
import org.apricotgauge.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlatformClientTest {
    private static final long BOUND_SECONDS = 20;

    private PlatformStandin mStandin;
    private PlatformClient mClient;

    @BeforeEach
    void start() {
        mStandin = PlatformStandin.start("127.0.0.1", 0);
        mClient = HttpPlatformClient.open(mStandin.uri());
    }

    @AfterEach
    void stop() {
        mClient.close();
        mStandin.close();
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(BOUND_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void aWaitingReadAnswersOnceTheHeadReachesItsPosition() throws Exception {
        mStandin.append("a");
        CompletableFuture<LogPage> waiting = mClient.readLog(2, 10, 60_000);
        mStandin.append("b");
        assertThat(get(waiting)).isEqualTo(new LogPage(2, List.of(new LogRecord(2, "b"))));
        assertThat(mStandin.calls()).isEqualTo(1);
    }

    @Test
    void readsTheListOfVmsByPagesAndThenOnlyItsChanges() throws Exception {
        VmStatus a = vm("a", VmStatus.State.LIVE);
        VmStatus b = vm("b", VmStatus.State.LIVE);
        mStandin.setVms(List.of(a, b));
        VmPage first = get(mClient.readVms(0, 1, 0));
        assertThat(first).isEqualTo(new VmPage(1, List.of(a), List.of(), true));
        mStandin.setVms(List.of(vm("b", VmStatus.State.LEAVING)));
        VmPage rest = get(mClient.readVms(2, 10, 60_000));
        assertThat(rest.vms()).containsExactly(vm("b", VmStatus.State.LEAVING));
        assertThat(rest.removed()).containsExactly("a");
    }

    @Test
    void showsTheOldStateWhileStaleAndFailsWhileDown() throws Exception {
        mStandin.append("a");
        mStandin.setMode(PlatformMode.STALE);
        mStandin.append("b");
        assertThat(get(mClient.readLog(1, 10, 0)).head()).isEqualTo(1);
        mStandin.setMode(PlatformMode.DOWN);
        assertThatThrownBy(() -> get(mClient.readLog(1, 10, 0)))
                .hasCauseInstanceOf(PlatformException.class);
    }

    @Test
    void readsASnapshotInChunks() throws Exception {
        assertThat(get(mClient.readSnapshotHeader())).isEqualTo(SnapshotHeader.NONE);
        mStandin.publishSnapshot(7, List.of(new byte[] {1}, new byte[] {2}));
        assertThat(get(mClient.readSnapshotHeader())).isEqualTo(new SnapshotHeader(7, 2));
        assertThat(get(mClient.readSnapshotChunk(7, 1))).containsExactly(2);
    }

    // Guards against a part of a snapshot that is taken for a whole chunk, as the platform crashes.
    @Test
    void chunkWhoseConnectionIsResetIsNotComplete() {
        assertThatThrownBy(() -> chunkWithoutLength(true))
                .hasCauseInstanceOf(PlatformException.class);
    }

    @Test
    void chunkThatEndsWithItsConnectionIsComplete() throws Exception {
        assertThat(chunkWithoutLength(false)).isEqualTo("part");
    }

    private static String chunkWithoutLength(boolean reset) throws Exception {
        try (ServerSocket platform = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PlatformClient client =
                        HttpPlatformClient.open(
                                URI.create("http://127.0.0.1:" + platform.getLocalPort()))) {
            CompletableFuture<byte[]> chunk = client.readSnapshotChunk(7, 1);
            try (Socket connection = platform.accept()) {
                BufferedReader request =
                        new BufferedReader(
                                new InputStreamReader(connection.getInputStream(), UTF_8));
                while (!request.readLine().isEmpty()) {
                    continue;
                }
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(UTF_8));
                connection.setSoLinger(reset, 0);
            }
            return new String(get(chunk), UTF_8);
        }
    }

    private static VmStatus vm(String id, VmStatus.State state) {
        return new VmStatus(new Vm(id, "d1", "127.0.0.1", 1, 2, 3, 4), state);
    }
}
