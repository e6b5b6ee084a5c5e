package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.VmPage;
import org.junit.jupiter.api.Test;

class VmSyncTest {
    private final List<GossipEvent> mEvents = new ArrayList<>();
    private final Vm mSelf = vm(0);
    private final GossipContext mContext =
            new GossipContext(
                    mSelf,
                    GossipSettings.DEFAULT,
                    new LinkTable(),
                    new SplittableRandom(1),
                    mEvents::add);
    private VmView mView = VmView.EMPTY;
    private final VmSync mSync =
            new VmSync(
                    mContext,
                    null,
                    (changed, evicted) -> changed.forEach(line -> mView = mView.withLine(line)),
                    source -> {});

    private static Vm vm(int i) {
        return new Vm("vm" + i, "d1", "10.0.0.1", 1, 2, 3, 4);
    }

    private static VmStatus status(int i, VmStatus.State state) {
        return new VmStatus(vm(i), state);
    }

    private void publish(long since, long revision, List<VmStatus> vms, List<String> removed) {
        mSync.onPublished(since, new VmPage(revision, vms, removed, false), 0);
    }

    private void publishFortyVms() {
        List<VmStatus> vms =
                IntStream.range(0, 40).mapToObj(i -> status(i, VmStatus.State.LIVE)).toList();
        publish(0, 1, vms, List.of());
    }

    @Test
    void ignoresListThatRemovesMostVms() {
        // Failure: all requests are rejected for lack of targets. The platform's list is briefly
        // empty, which looks like the removal of all VMs.
        publishFortyVms();
        List<String> all = IntStream.range(0, 40).mapToObj(i -> "vm" + i).toList();
        publish(1, 2, List.of(), all);
        assertThat(mView.leaving("vm1")).isFalse();
        assertThat(mEvents).containsExactly(GossipEvent.IMPLAUSIBLE_VM_LIST);
    }

    @Test
    void appliesFewRemovalsAndLeavingVm() {
        publishFortyVms();
        publish(1, 2, List.of(status(3, VmStatus.State.LEAVING)), List.of("vm1"));
        assertThat(mView.leaving("vm1")).isTrue();
        assertThat(mView.leaving("vm3")).isTrue();
        assertThat(mView.leaving("vm2")).isFalse();
        assertThat(mView.leaving("unknown")).isFalse();
    }

    @Test
    void ignoresStalePlatform() {
        publishFortyVms();
        publish(1, 5, List.of(status(3, VmStatus.State.LEAVING)), List.of());
        publish(0, 2, List.of(status(3, VmStatus.State.LIVE)), List.of());
        assertThat(mView.leaving("vm3")).isTrue();
        assertThat(mEvents).containsExactly(GossipEvent.STALE_PLATFORM);
    }

    @Test
    void laggingListDoesNotRevokeLeavingNotice() {
        // Failure: requests go to a VM that announced it is leaving, since the list still says
        // LIVE.
        publishFortyVms();
        mView = mView.withAlive(vm(3), 7).withNotice(new LeavingNotice("vm3", "", 7));
        publish(1, 2, List.of(status(3, VmStatus.State.LIVE)), List.of());
        assertThat(mView.leaving("vm3")).isTrue();
    }
}
