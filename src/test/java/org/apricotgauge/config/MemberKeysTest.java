package org.apricotgauge.config;

import static org.apricotgauge.config.Patches.accessEntry;
import static org.apricotgauge.config.Patches.entry;
import static org.apricotgauge.config.Patches.putMember;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.KeyDigest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** Patches that give members keys, ranks and limits. */
class MemberKeysTest {
    private static final KeyDigest KEY = KeyDigest.of("k1");

    @Test
    void aKeyNamesItsMemberUntilAPatchRemovesIt() {
        ConfigHistory one = accepted(ConfigHistory.EMPTY, 1, putMember("stable", "k1", "k2"));
        assertThat(one.configuration().memberOf(KEY).id()).isEqualTo("stable");

        ConfigHistory two = accepted(one, 2, putMember("stable", "k2"));
        assertThat(two.configuration().memberOf(KEY)).isNull();
        assertThat(two.configuration().authenticatesByKey()).isTrue();

        ConfigHistory three = accepted(two, 3, new PatchOperation.RemoveMember("stable"));
        assertThat(three.configuration().authenticatesByKey()).isFalse();
    }

    // Guards against a request that counts as one member's here and as another's there.
    @Test
    void aKeyOfTwoMembersIsRefusedByItsDigest() {
        ConfigHistory one = accepted(ConfigHistory.EMPTY, 1, putMember("stable", "k1"));

        FoldResult result = one.apply(accessEntry(2, 1, putMember("yard", "k1")));

        List<RefusalReason> reasons = ((FoldResult.Refused) result).reasons();
        assertThat(reasons).containsExactly(new RefusalReason.KeyTaken("yard", "stable", KEY));
        assertThat(reasons.get(0).message()).contains(KEY.toString()).doesNotContain("k1");
    }

    @Test
    void onePatchMayMoveAKeyInEitherOrder() {
        ConfigHistory one = accepted(ConfigHistory.EMPTY, 1, putMember("stable", "k1"));

        for (PatchOperation[] moves :
                new PatchOperation[][] {
                    {putMember("yard", "k1"), putMember("stable", "k2")},
                    {putMember("stable", "k2"), putMember("yard", "k1")}
                }) {
            ConfigHistory moved = accepted(one, 2, moves);
            assertThat(moved.configuration().memberOf(KEY).id()).isEqualTo("yard");
        }
    }

    // Guards against two releases that judge one patch differently: the older knows no keys.
    @Test
    void theFirstRulesKnowNoKeysAndLimits() {
        Member limited = new Member("stable", 1, null, null, new RateLimit(5, 5));
        for (PatchOperation operation :
                List.of(putMember("stable", "k1"), new PatchOperation.PutMember(limited))) {
            FoldResult result = ConfigHistory.EMPTY.apply(entry(1, 0, operation));

            assertThat(((FoldResult.Refused) result).reasons())
                    .containsExactly(
                            new RefusalReason.NeedsRules(
                                    EntityKind.MEMBER, "stable", Rules.ACCESS));
        }
    }

    private static ConfigHistory accepted(
            ConfigHistory on, long position, PatchOperation... operations) {
        FoldResult result = on.apply(accessEntry(position, on.version(), operations));
        assertThat(result).isInstanceOf(FoldResult.Accepted.class);
        return result.history();
    }
}
