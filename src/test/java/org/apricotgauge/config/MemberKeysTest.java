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

    // Guards against a site that lets every request through once its last key has been removed.
    @Test
    void aSiteThatRequiresKeysDoesSoWithoutAnyLeft() {
        ConfigHistory one =
                acceptedUnder(ConfigHistory.EMPTY, 1, Rules.ACCESS, putMember("stable", "k1"));
        ConfigHistory two =
                acceptedUnder(
                        one,
                        2,
                        Rules.KEYS_REQUIRED,
                        new PatchOperation.SetKeysRequired(true),
                        new PatchOperation.RemoveMember("stable"));
        assertThat(two.configuration().authenticatesByKey()).isTrue();

        SnapshotAssembler.Result result = SnapshotCodec.decode(SnapshotCodec.encode(two));
        ConfigHistory restored = ((SnapshotAssembler.Restored) result).history();
        assertThat(restored.digest()).isEqualTo(two.digest());
        assertThat(restored.configuration().authenticatesByKey()).isTrue();

        ConfigHistory three =
                acceptedUnder(
                        restored,
                        3,
                        Rules.KEYS_REQUIRED,
                        new PatchOperation.SetKeysRequired(false));
        assertThat(three.configuration().authenticatesByKey()).isFalse();
        assertThat(ConfigHistory.restore(three.mark(), three.configuration()).digest())
                .isEqualTo(three.digest());
    }

    // Guards against two releases that judge one patch differently: the older knows no such field.
    @Test
    void onlyTheThirdRulesKnowThatKeysAreRequired() {
        FoldResult result =
                ConfigHistory.EMPTY.apply(
                        accessEntry(1, 0, new PatchOperation.SetKeysRequired(true)));

        assertThat(((FoldResult.Refused) result).reasons())
                .containsExactly(
                        new RefusalReason.NeedsRules(
                                EntityKind.SITE, PatchOperation.SITE, Rules.KEYS_REQUIRED));
    }

    // Guards against a patch that leaves the answer out and thereby lets every request through.
    @Test
    void whetherKeysAreRequiredMustBeSaid() {
        ConfigHistory one =
                acceptedUnder(ConfigHistory.EMPTY, 1, Rules.ACCESS, putMember("stable", "k1"));
        String body =
                "{\"baseVersion\":1,\"author\":\"a\",\"note\":\"\",\"rulesVersion\":3,"
                        + "\"operations\":[{\"op\":\"setKeysRequired\"}]}";

        FoldResult result = one.apply(new LogEntry(2, body));

        assertThat(((FoldResult.Refused) result).reasons())
                .singleElement()
                .isInstanceOf(RefusalReason.Malformed.class);
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

    private static ConfigHistory acceptedUnder(
            ConfigHistory on, long position, int rules, PatchOperation... operations) {
        Patch patch = new Patch(on.version(), "almaz", "test", rules, List.of(operations));
        FoldResult result = on.apply(new LogEntry(position, PatchCodec.encode(patch)));
        assertThat(result).isInstanceOf(FoldResult.Accepted.class);
        return result.history();
    }
}
