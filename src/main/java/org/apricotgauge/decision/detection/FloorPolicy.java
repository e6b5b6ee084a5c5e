package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Selects the targets to eject among those with enough evidence, within the floor.
 *
 * <p>The most degraded targets are ejected first, so that the least degraded ones return to service
 * when capacity is lost elsewhere. A target that can't take requests anyway (see {@link
 * TargetPresence}) is never ejected, as its slots would be subtracted twice.
 */
final class FloorPolicy {
    private FloorPolicy() {}

    /**
     * A target with enough evidence to be ejected.
     *
     * @param targetId the target
     * @param severity its evidence per sample, in nats, weighted for a target that is ejected
     *     already; the larger, the more degraded
     */
    record Candidate(String targetId, double severity) {
        private static final Comparator<Candidate> WORST_FIRST =
                Comparator.comparingDouble(Candidate::severity)
                        .reversed()
                        .thenComparing(Candidate::targetId);
    }

    /** Returns the ids of the candidates to eject. */
    static Set<String> selectEjections(
            List<Candidate> candidates, ConfiguredTargets configuredTargets, int floorSlots) {
        Map<String, ConfiguredTargets.ConfiguredTarget> targetsById =
                configuredTargets.targets().stream()
                        .collect(
                                Collectors.toMap(
                                        ConfiguredTargets.ConfiguredTarget::targetId,
                                        Function.identity()));
        List<Candidate> ranked = new ArrayList<>(candidates);
        ranked.sort(Candidate.WORST_FIRST);
        Set<String> ejected = new HashSet<>();
        int eligibleSlots = configuredTargets.presentSlots();
        for (Candidate candidate : ranked) {
            ConfiguredTargets.ConfiguredTarget target = targetsById.get(candidate.targetId());
            if (target.isPresent() && eligibleSlots - target.slots() >= floorSlots) {
                ejected.add(candidate.targetId());
                eligibleSlots -= target.slots();
            }
        }
        return ejected;
    }

    /**
     * Returns the slots that a decision leaves in service, and fails if an ejection broke the
     * floor.
     *
     * <p>Counts from the verdicts that are returned and not from the selection, so that a fault
     * anywhere in between is detected. Capacity below the floor because targets can't take requests
     * is no fault, but then no target may be ejected.
     *
     * @throws IllegalStateException if a target is ejected and fewer slots than the floor are left
     */
    static int eligibleSlots(
            Map<String, EjectionVerdict> verdicts,
            ConfiguredTargets configuredTargets,
            int floorSlots) {
        int eligibleSlots = 0;
        int ejectedSlots = 0;
        for (ConfiguredTargets.ConfiguredTarget target : configuredTargets.targets()) {
            if (!target.isPresent()) {
                continue;
            }
            if (verdicts.get(target.targetId()).isEligible()) {
                eligibleSlots += target.slots();
            } else {
                ejectedSlots += target.slots();
            }
        }
        if (ejectedSlots > 0 && eligibleSlots < floorSlots) {
            throw new IllegalStateException(
                    "ejections leave "
                            + eligibleSlots
                            + " slots, the floor is "
                            + floorSlots
                            + ", ejected are "
                            + ejectedSlots);
        }
        return eligibleSlots;
    }
}
