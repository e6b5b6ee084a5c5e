package org.apricotgauge.config;

import static org.apricotgauge.config.Patches.accepted;
import static org.apricotgauge.config.Patches.accessEntry;
import static org.apricotgauge.config.Patches.entry;
import static org.apricotgauge.config.Patches.putService;
import static org.apricotgauge.config.Patches.route;
import static org.apricotgauge.config.Patches.target;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.config.PatchOperation.PutRoute;
import org.apricotgauge.config.PatchOperation.PutTarget;
import org.apricotgauge.config.PatchOperation.RemoveService;
import org.apricotgauge.config.PatchOperation.RemoveTarget;
import org.apricotgauge.config.PatchOperation.SetFleetShare;
import org.apricotgauge.model.Target;
import org.junit.jupiter.api.Test;

class ConfigHistoryTest {

    // Two operators review against version 1 and publish at once. The platform orders the two; both
    // name version 1. Every node must take the first and refuse the second as a whole, or the
    // second
    // undoes the first unseen.
    @Test
    void secondOfTwoPatchesOnOneVersionIsRefusedAsAWhole() {
        ConfigHistory one = accepted(putService("lessons"));
        ConfigHistory two = one.apply(entry(2, 1, putService("bookings"))).history();

        FoldResult late = two.apply(entry(3, 1, putService("records"), putService("tack")));

        assertThat(reasons(late)).containsExactly(new RefusalReason.NotOnCurrentVersion(1, 2));
        assertThat(late.history().version()).isEqualTo(2);
        assertThat(late.history().position()).isEqualTo(3);
        assertThat(late.history().configuration()).isSameAs(two.configuration());
    }

    // An operator's tool publishes one patch twice, after a timeout. Taken twice, the second would
    // undo
    // what came between; the same text at a later position is on a version that is past.
    @Test
    void patchPublishedTwiceTakesEffectOnce() {
        ConfigHistory one = accepted(putService("lessons"));

        FoldResult again = one.apply(entry(2, 0, putService("lessons")));

        assertThat(reasons(again)).containsExactly(new RefusalReason.NotOnCurrentVersion(0, 1));
        assertThat(again.history().version()).isEqualTo(1);
    }

    // A patch prepared for a version that is still to come is published before its predecessor. It
    // must not wait in a node's memory and take effect later: a node that starts anew would not.
    @Test
    void patchOnAVersionToComeIsRefusedForGood() {
        ConfigHistory early = ConfigHistory.EMPTY.apply(entry(1, 1, putService("b"))).history();
        ConfigHistory history = early.apply(entry(2, 0, putService("a"))).history();

        assertThat(history.version()).isEqualTo(1);
        assertThat(history.configuration().service("b")).isNull();
    }

    // A flapping platform serves an entry again, or skips one. A node that folded either would have
    // a
    // history that no other node has.
    @Test
    void duplicateAndGapLeaveTheHistoryAlone() {
        ConfigHistory one = accepted(putService("lessons"));

        FoldResult duplicate = one.apply(entry(1, 0, putService("lessons")));
        FoldResult gap = one.apply(entry(3, 1, putService("bookings")));

        assertThat(duplicate).isEqualTo(new FoldResult.OutOfOrder(one, 2, 1));
        assertThat(((FoldResult.OutOfOrder) duplicate).isDuplicate()).isTrue();
        assertThat(gap).isEqualTo(new FoldResult.OutOfOrder(one, 2, 3));
        assertThat(((FoldResult.OutOfOrder) gap).isDuplicate()).isFalse();
    }

    // Somebody publishes text that is no patch. The list can't be mended, so every node must step
    // over
    // it in the same way, or the configuration stands still for good.
    @Test
    void malformedEntryIsSteppedOver() {
        FoldResult result = ConfigHistory.EMPTY.apply(new LogEntry(1, "{\"baseVersion\": 0,"));

        assertThat(reasons(result).get(0)).isInstanceOf(RefusalReason.Malformed.class);
        FoldResult next = result.history().apply(entry(2, 0, putService("lessons")));
        assertThat(next).isInstanceOf(FoldResult.Accepted.class);
    }

    // A newer release's rules come into force while an old release still runs. Judged by its own
    // rules
    // the old one could refuse what the new one takes; it must stop instead, and say so.
    @Test
    void rulesOfANewerReleaseStopTheFold() {
        ConfigHistory history = underNewestRules();
        LogEntry entry = new LogEntry(3, patchText(2, Rules.NEWEST + 1, "{\"op\":\"unheard\"}"));

        FoldResult result = history.apply(entry);

        assertThat(result).isEqualTo(new FoldResult.UnsupportedRules(history, 3, Rules.NEWEST + 1));
    }

    // During a rollout an old node stops at the entry that needs the next rules, and its successor
    // goes
    // on from there. Had it refused or taken the entry, the two would differ for good.
    @Test
    void oldReleaseStopsWhereANewOneGoesOnAlike() {
        int next = Rules.NEWEST + 1;
        LogEntry raise = new LogEntry(3, patchText(2, next, ""));
        ConfigHistory one = underNewestRules();

        ConfigHistory old = one.apply(raise).history();
        ConfigHistory upgraded = old.apply(raise, next).history();

        assertThat(old).isSameAs(one);
        assertThat(upgraded.rulesVersion()).isEqualTo(next);
        assertThat(upgraded.digest()).isEqualTo(one.apply(raise, next).history().digest());
        FoldResult back = upgraded.apply(new LogEntry(4, patchText(3, Rules.NEWEST, "")), next);
        assertThat(reasons(back))
                .containsExactly(new RefusalReason.RulesOutOfTurn(Rules.NEWEST, next));
    }

    // An author's slip names rules far ahead. Were that taken, every release would stop for good.
    @Test
    void rulesOutOfTurnAreRefused() {
        FoldResult result = ConfigHistory.EMPTY.apply(new LogEntry(1, patchText(0, 999, "")));

        assertThat(reasons(result)).containsExactly(new RefusalReason.RulesOutOfTurn(999, 1));
    }

    @Test
    void removalOfAServiceInUseIsRefused() {
        ConfigHistory one =
                accepted(
                        putService("lessons"),
                        new PutTarget(target("t1", "lessons")),
                        new PutRoute(route("r1", "lessons")));

        FoldResult refused = one.apply(entry(2, 1, new RemoveService("lessons")));

        assertThat(reasons(refused))
                .containsExactly(new RefusalReason.ServiceInUse("lessons", 1, 1));
    }

    @Test
    void entitiesMustFitTogetherAtTheEndOfThePatch() {
        Target moved = new Target("t2", "lessons", "vm-t1", "domain-b", "10.0.0.2", 80, 3);
        FoldResult result =
                ConfigHistory.EMPTY.apply(
                        entry(
                                1,
                                0,
                                new PutTarget(target("t1", "lessons")),
                                new PutTarget(moved),
                                new PutTarget(target("t3", "nowhere")),
                                new PutRoute(route("r1", "nowhere")),
                                putService("lessons"),
                                new SetFleetShare("lessons", 40),
                                new RemoveTarget("t9")));

        assertThat(reasons(result))
                .extracting(RefusalReason::message)
                .containsExactly(
                        "service \"lessons\": service.predecessor must be given while"
                                + " service.fleetSharePercent is 40",
                        "there is no target \"t9\"",
                        "VM \"vm-t1\" would be in failure domains \"domain-a\" and \"domain-b\"",
                        "VM \"vm-t1\" would be in failure domains \"domain-b\" and \"domain-a\"",
                        "target \"t3\" names service \"nowhere\", which is not there",
                        "route \"r1\" names service \"nowhere\", which is not there");
        assertThat(result.history().configuration().services()).isEmpty();
    }

    @Test
    void digestCoversRefusedEntriesAndVersionDigestDoesNot() {
        ConfigHistory one = accepted(putService("lessons"));
        ConfigHistory bad = one.apply(new LogEntry(2, "bad")).history();
        ConfigHistory worse = one.apply(new LogEntry(2, "worse")).history();

        assertThat(bad.digest()).isNotEqualTo(worse.digest()).isNotEqualTo(one.digest());
        assertThat(bad.versionDigest()).isEqualTo(one.versionDigest());
    }

    private static ConfigHistory underNewestRules() {
        ConfigHistory access =
                ConfigHistory.EMPTY.apply(accessEntry(1, 0, putService("lessons"))).history();
        return access.apply(new LogEntry(2, patchText(1, Rules.NEWEST, ""))).history();
    }

    private static String patchText(long baseVersion, int rulesVersion, String operation) {
        return "{\"baseVersion\":"
                + baseVersion
                + ",\"author\":\"a\",\"rulesVersion\":"
                + rulesVersion
                + ",\"operations\":["
                + operation
                + "]}";
    }

    private static List<RefusalReason> reasons(FoldResult result) {
        assertThat(result).isInstanceOf(FoldResult.Refused.class);
        return ((FoldResult.Refused) result).reasons();
    }
}
