package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

/** Tests which node owns a member. */
class MemberOwnersTest {
    private static final int NODES = 50;
    private static final int MEMBERS = 2_000;

    @Test
    void allNodesComputeTheSameOwners() {
        for (int member = 0; member < 100; member++) {
            String id = "team-" + member;
            Address owner = owners(0, NODES).owner(id);
            assertThat(owners(7, NODES).owner(id)).isEqualTo(owner);
            assertThat(owners(7, NODES).candidates(id))
                    .isEqualTo(owners(31, NODES).candidates(id))
                    .startsWith(owner)
                    .doesNotHaveDuplicates()
                    .hasSize(MemberOwners.MAX_CANDIDATES);
        }
    }

    // Guards against counting the tokens of all members anew when one node is removed.
    @Test
    void removingANodeMovesOnlyItsMembers() {
        MemberOwners before = owners(0, NODES);
        MemberOwners after = owners(0, NODES - 1);
        for (int member = 0; member < MEMBERS; member++) {
            String id = "team-" + member;
            if (!before.owner(id).equals(address(NODES - 1))) {
                assertThat(after.owner(id)).isEqualTo(before.owner(id));
            } else {
                assertThat(after.owner(id)).isEqualTo(before.candidates(id).get(1));
            }
        }
    }

    @Test
    void membersAreSpreadOverAllNodes() {
        int[] counts = new int[NODES];
        for (int member = 0; member < MEMBERS; member++) {
            String id = "team-" + member;
            for (int node = 0; node < NODES; node++) {
                counts[node] += owners(0, NODES).owner(id).equals(address(node)) ? 1 : 0;
            }
        }
        for (int count : counts) {
            assertThat(count).isBetween(MEMBERS / NODES / 3, MEMBERS / NODES * 3);
        }
    }

    @Test
    void aCandidateHasItsRank() {
        for (int node = 0; node < NODES; node++) {
            int place = owners(0, NODES).candidates("team-1").indexOf(address(node));
            assertThat(owners(node, NODES).rank("team-1"))
                    .matches(
                            rank ->
                                    place < 0
                                            ? rank >= MemberOwners.MAX_CANDIDATES
                                            : rank == place);
        }
    }

    // Guards against a node without a target that grants tokens to its callers, while the others,
    // which do not know it, have another owner for its members.
    @Test
    void aNodeThatIsNotListedOwnsNothing() {
        List<Address> others = new ArrayList<>();
        for (int node = 1; node < NODES; node++) {
            others.add(address(node));
        }
        MemberOwners unlisted = MemberOwners.of(address(0), others, false);
        MemberOwners listed = MemberOwners.of(address(1), others.subList(1, NODES - 1));
        for (int member = 0; member < MEMBERS; member++) {
            assertThat(unlisted.candidates("team-" + member))
                    .isEqualTo(listed.candidates("team-" + member));
        }
        assertThat(MemberOwners.of(address(0), List.of(), false).isOwner("team-1")).isTrue();
    }

    @Test
    void ranksAreDistinct() {
        boolean[] seen = new boolean[NODES];
        for (int node = 0; node < NODES; node++) {
            seen[owners(node, NODES).rank("team-1")] = true;
        }
        assertThat(seen).doesNotContain(false);
    }

    private static MemberOwners owners(int self, int nodes) {
        List<Address> others = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            if (node != self) {
                others.add(address(node));
            }
        }
        return MemberOwners.of(address(self), others);
    }

    private static Address address(int node) {
        return new Address("10.0.0." + (node + 1), 7_000);
    }
}
