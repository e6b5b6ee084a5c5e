package org.apricotgauge.decision.allotment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

/** Which node counts a member's tokens. */
class HomesTest {
    private static final int NODES = 50;
    private static final int MEMBERS = 2_000;

    @Test
    void allNodesWorkOutTheSameHomes() {
        for (int member = 0; member < 100; member++) {
            String id = "team-" + member;
            Address home = homes(0, NODES).home(id);
            assertThat(homes(7, NODES).home(id)).isEqualTo(home);
            assertThat(homes(7, NODES).standIn(id)).isEqualTo(homes(31, NODES).standIn(id));
            assertThat(homes(7, NODES).standIn(id).get()).isNotEqualTo(home);
        }
    }

    // Guards against a node that leaves and makes all members' tokens start anew.
    @Test
    void aNodeThatLeavesMovesOnlyItsOwnMembers() {
        Homes before = homes(0, NODES);
        Homes after = homes(0, NODES - 1);
        for (int member = 0; member < MEMBERS; member++) {
            String id = "team-" + member;
            if (!before.home(id).equals(address(NODES - 1))) {
                assertThat(after.home(id)).isEqualTo(before.home(id));
            } else {
                assertThat(after.home(id)).isEqualTo(before.standIn(id).get());
            }
        }
    }

    @Test
    void membersAreSpreadOverAllNodes() {
        int[] counts = new int[NODES];
        for (int member = 0; member < MEMBERS; member++) {
            String id = "team-" + member;
            for (int node = 0; node < NODES; node++) {
                counts[node] += homes(0, NODES).home(id).equals(address(node)) ? 1 : 0;
            }
        }
        for (int count : counts) {
            assertThat(count).isBetween(MEMBERS / NODES / 3, MEMBERS / NODES * 3);
        }
    }

    @Test
    void ranksAreThePlacesInTheOrder() {
        boolean[] seen = new boolean[NODES];
        for (int node = 0; node < NODES; node++) {
            seen[homes(node, NODES).rank("team-1")] = true;
        }
        assertThat(seen).doesNotContain(false);
    }

    private static Homes homes(int self, int nodes) {
        List<Address> others = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            if (node != self) {
                others.add(address(node));
            }
        }
        return Homes.of(address(self), others);
    }

    private static Address address(int node) {
        return new Address("10.0.0." + (node + 1), 7_000);
    }
}
