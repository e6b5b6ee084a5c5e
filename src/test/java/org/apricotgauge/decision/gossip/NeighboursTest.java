package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;
import org.junit.jupiter.api.Test;

class NeighboursTest {
    private static final Address SEED = new Address("10.0.0.1", 7);
    private static final long NOW_MILLIS = 1_000_000;

    private final LinkTable mLinks = new LinkTable();
    private final GossipContext mContext =
            new GossipContext(
                    vm("self", "10.0.0.9"),
                    GossipSettings.DEFAULT,
                    mLinks,
                    new SplittableRandom(1),
                    event -> {});
    private final List<Address> mDialled = new ArrayList<>();
    private final Neighbours mNeighbours =
            new Neighbours(
                    mContext,
                    () -> VmView.EMPTY,
                    new PeerFailureDetector(
                            mContext, null, new LocalHealthMultiplier(), (vm, nowMillis) -> {}),
                    List.of(SEED),
                    (vm, address, nowMillis) -> mDialled.add(address));

    private static Vm vm(String id, String host) {
        return new Vm(id, "d1", host, 1, 1, 7, 1);
    }

    private void linkFrom(Vm remote) {
        mLinks.add(new Link(-1, Link.Role.NEIGHBOUR, Link.State.ESTABLISHED, remote, NOW_MILLIS));
    }

    @Test
    void nodeWithOneLinkKeepsDialling() {
        // Failure: two nodes of a thousand serve an old version until the platform recovers. All
        // nodes start at once and the seeds have no free links for a while, so that two nodes find
        // only each other. If one link were enough, they would stop dialling and stay isolated.
        linkFrom(vm("other", "10.0.0.2"));
        mNeighbours.dialMissing(NOW_MILLIS);
        assertThat(mDialled).containsExactly(SEED);
    }

    @Test
    void linkedSeedIsNotDialledAgain() {
        linkFrom(vm("seed", SEED.host()));
        mNeighbours.dialMissing(NOW_MILLIS);
        assertThat(mDialled).isEmpty();
    }
}
