package org.apricotgauge.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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

    private static VmStatus vm(String id, VmStatus.State state) {
        return new VmStatus(new Vm(id, "d1", "127.0.0.1", 1, 2, 3, 4), state);
    }
}
