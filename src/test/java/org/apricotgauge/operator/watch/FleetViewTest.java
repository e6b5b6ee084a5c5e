package org.apricotgauge.operator.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotgauge.decision.effect.Effect;
import org.apricotgauge.model.Address;
import org.apricotgauge.operator.NodeAnswer;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.NodeStatus;
import org.apricotgauge.operator.OutcomeCounts;
import org.apricotgauge.operator.ServiceStatus;
import org.apricotgauge.operator.VersionWindow;
import org.junit.jupiter.api.Test;

class FleetViewTest {
    private static final OutcomeCounts GOOD = new OutcomeCounts(1_000, 0, 0, 0, 0);
    private static final OutcomeCounts BAD = new OutcomeCounts(500, 300, 150, 50, 1);

    @Test
    void stragglersEjectionsAndSilentNodesAreAllShown() {
        List<NodeAnswer<NodeStatus>> answers =
                List.of(
                        answer("vm-1", 8, "b", BAD, GOOD),
                        answer("vm-2", 8, "b", BAD, GOOD),
                        answer("vm-3", 7, "a", BAD, GOOD),
                        new NodeAnswer.Silent<>(new Address("10.0.0.4", 8083), "refused"));

        FleetView view = FleetView.of(answers, Optional.empty(), Optional.empty());

        assertThat(view.isWhole()).isFalse();
        assertThat(FleetText.text(view).lines())
                .containsExactly(
                        "3 of 4 nodes answered",
                        "! 10.0.0.4:8083 did not answer: refused",
                        "version 8: 2 nodes",
                        "version 7: 1 node, stragglers: vm-3",
                        "ejected: t7 of roster, by vm-1, vm-2, vm-3",
                        "outcomes: 6000 requests, 4500 answered, 900 failed, 450 not run,"
                                + " 150 unknown; 3 ejections");
        assertThat(FleetText.json(view)).contains("\"reason\":\"refused\"", "\"change\":null");
    }

    /** Two histories at one version break "never rolled back"; the operator must see it at once. */
    @Test
    void differentDigestsAtOneVersionAreShown() {
        FleetView view =
                FleetView.of(
                        List.of(
                                answer("vm-1", 8, "b", GOOD, GOOD),
                                answer("vm-2", 8, "c", GOOD, GOOD)),
                        Optional.empty(),
                        Optional.empty());

        assertThat(view.isWhole()).isFalse();
        assertThat(FleetText.text(view))
                .contains("! version 8 has different digests at different nodes\n");
    }

    @Test
    void changeIsJudgedBeforeAndAfterTheVersion() {
        assertThat(effect(nodes(4, BAD, GOOD), "roster")).isEqualTo(Effect.Verdict.HELPED);
        assertThat(effect(nodes(4, GOOD, BAD), "roster")).isEqualTo(Effect.Verdict.HARMED);
        assertThat(effect(nodes(4, GOOD, GOOD), "roster")).isEqualTo(Effect.Verdict.UNDECIDED);
        assertThat(effect(nodes(4, BAD, GOOD), "other")).isEqualTo(Effect.Verdict.UNDECIDED);
    }

    /** The nodes that a patch hurt most may be down: those left must not speak for them. */
    @Test
    void halfOfTheNodesSilentIsUndecided() {
        List<NodeAnswer<NodeStatus>> answers = nodes(4, BAD, GOOD);
        for (int i = 0; i < 4; i++) {
            answers.add(new NodeAnswer.Silent<>(new Address("10.0.0.9", 1 + i), "refused"));
        }

        assertThat(effect(answers, "roster")).isEqualTo(Effect.Verdict.UNDECIDED);
    }

    private static Effect.Verdict effect(List<NodeAnswer<NodeStatus>> answers, String service) {
        FleetView view = FleetView.of(answers, Optional.of(service), Optional.of(8L));
        return view.change().orElseThrow().effect().verdict();
    }

    private static List<NodeAnswer<NodeStatus>> nodes(
            int count, OutcomeCounts before, OutcomeCounts after) {
        List<NodeAnswer<NodeStatus>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(answer("vm-" + i, 8, "b", before, after));
        }
        return answers;
    }

    private static NodeAnswer<NodeStatus> answer(
            String vm, long version, String digest, OutcomeCounts before, OutcomeCounts after) {
        NodeStatus status =
                new NodeStatus(
                        vm,
                        "a",
                        "0.1.0",
                        1,
                        NodePhase.SERVING,
                        version,
                        digest,
                        version,
                        List.of(new ServiceStatus("roster", 9, List.of(), List.of("t7"))),
                        List.of(
                                new VersionWindow(7, 1_000, before, Map.of("roster", before)),
                                new VersionWindow(8, 1_000, after, Map.of("roster", after))));
        return new NodeAnswer.Answered<>(new Address("10.0.0.1", 8083), status);
    }
}
