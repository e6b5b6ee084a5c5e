package org.apricotgauge.operator.watch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apricotgauge.decision.effect.Effect;
import org.apricotgauge.decision.effect.EffectPolicy;
import org.apricotgauge.decision.effect.NodeOutcomes;
import org.apricotgauge.decision.effect.OutcomeShare;
import org.apricotgauge.operator.NodeAnswer;
import org.apricotgauge.operator.NodeStatus;
import org.apricotgauge.operator.OutcomeCounts;
import org.apricotgauge.operator.ServiceStatus;
import org.apricotgauge.operator.VersionWindow;

/**
 * What the nodes' answers say of the fleet together; pure.
 *
 * @param asked nodes asked
 * @param silent nodes that gave no usable answer
 * @param adoption the versions in force, the newest first
 * @param digestFaults versions that nodes hold with different digests; never right
 * @param ejections targets ejected somewhere
 * @param outcomes counts over all that the nodes still hold
 * @param change before and after a version, if one was asked for
 */
record FleetView(
        int asked,
        List<SilentNode> silent,
        List<VersionAdoption> adoption,
        List<Long> digestFaults,
        List<Ejection> ejections,
        OutcomeCounts outcomes,
        Optional<Change> change) {
    private static final long MAX_VERSION = Long.MAX_VALUE;

    /** A node that gave no usable answer, and why. */
    record SilentNode(String address, String reason) {}

    /** The nodes at one version. */
    record VersionAdoption(long version, List<String> digests, List<String> nodes) {}

    /** A target, and the nodes that have it ejected. */
    record Ejection(String service, String target, List<String> nodes) {}

    /** Counts before and after a version, and what follows from them. */
    record Change(long version, OutcomeCounts before, OutcomeCounts after, Effect effect) {}

    static FleetView of(
            List<NodeAnswer<NodeStatus>> answers,
            Optional<String> service,
            Optional<Long> sinceVersion) {
        List<SilentNode> silent = new ArrayList<>();
        List<NodeStatus> statuses = new ArrayList<>();
        for (NodeAnswer<NodeStatus> answer : answers) {
            if (answer instanceof NodeAnswer.Answered<NodeStatus> answered) {
                statuses.add(answered.value());
            } else {
                NodeAnswer.Silent<NodeStatus> none = (NodeAnswer.Silent<NodeStatus>) answer;
                silent.add(new SilentNode(none.node().toString(), none.reason()));
            }
        }
        List<VersionAdoption> adoption = adoption(statuses);
        return new FleetView(
                answers.size(),
                List.copyOf(silent),
                adoption,
                adoption.stream()
                        .filter(one -> one.digests().size() > 1)
                        .map(VersionAdoption::version)
                        .toList(),
                ejections(statuses),
                sum(statuses, service, 0, MAX_VERSION),
                sinceVersion.map(version -> change(statuses, service, version, answers.size())));
    }

    /** Returns whether all nodes answered and hold one version with one digest. */
    boolean isWhole() {
        return silent.isEmpty() && adoption.size() == 1 && digestFaults.isEmpty();
    }

    private static List<VersionAdoption> adoption(List<NodeStatus> statuses) {
        Map<Long, List<NodeStatus>> byVersion = new TreeMap<>(Comparator.reverseOrder());
        statuses.forEach(
                status ->
                        byVersion
                                .computeIfAbsent(status.version(), version -> new ArrayList<>())
                                .add(status));
        List<VersionAdoption> adoption = new ArrayList<>();
        byVersion.forEach(
                (version, nodes) ->
                        adoption.add(
                                new VersionAdoption(
                                        version,
                                        nodes.stream()
                                                .map(NodeStatus::digest)
                                                .distinct()
                                                .sorted()
                                                .toList(),
                                        nodes.stream().map(NodeStatus::vm).sorted().toList())));
        return List.copyOf(adoption);
    }

    private static List<Ejection> ejections(List<NodeStatus> statuses) {
        Map<String, Map<String, TreeSet<String>>> nodes = new TreeMap<>();
        for (NodeStatus status : statuses) {
            for (ServiceStatus service : status.services()) {
                for (String target : service.ejected()) {
                    nodes.computeIfAbsent(service.service(), id -> new TreeMap<>())
                            .computeIfAbsent(target, id -> new TreeSet<>())
                            .add(status.vm());
                }
            }
        }
        List<Ejection> ejections = new ArrayList<>();
        nodes.forEach(
                (service, targets) ->
                        targets.forEach(
                                (target, by) ->
                                        ejections.add(
                                                new Ejection(service, target, List.copyOf(by)))));
        return List.copyOf(ejections);
    }

    private static Change change(
            List<NodeStatus> statuses, Optional<String> service, long version, int asked) {
        List<NodeOutcomes> effects =
                statuses.stream()
                        .map(
                                status ->
                                        new NodeOutcomes(
                                                share(sum(status, service, 0, version - 1)),
                                                share(sum(status, service, version, MAX_VERSION))))
                        .toList();
        OutcomeCounts before = sum(statuses, service, 0, version - 1);
        OutcomeCounts after = sum(statuses, service, version, MAX_VERSION);
        // The nodes that a change hurt most may be the ones that no longer answer.
        Effect effect =
                2 * statuses.size() > asked
                        ? EffectPolicy.evaluate(effects)
                        : new Effect(
                                Effect.Verdict.UNDECIDED,
                                share(before),
                                share(after),
                                "only " + statuses.size() + " of " + asked + " nodes answered");
        return new Change(version, before, after, effect);
    }

    private static OutcomeShare share(OutcomeCounts counts) {
        return new OutcomeShare(counts.bad(), counts.requests());
    }

    private static OutcomeCounts sum(
            List<NodeStatus> statuses, Optional<String> service, long from, long to) {
        return statuses.stream()
                .map(status -> sum(status, service, from, to))
                .reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
    }

    private static OutcomeCounts sum(
            NodeStatus status, Optional<String> service, long from, long to) {
        return status.windows().stream()
                .filter(window -> window.version() >= from && window.version() <= to)
                .map((VersionWindow window) -> window.counts(service))
                .reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
    }
}
