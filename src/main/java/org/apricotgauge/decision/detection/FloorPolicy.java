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
 * Chooses which of the targets with enough evidence are ejected, within the floor.
 *
 * <p>The worst go first, so that those who return when capacity is lost elsewhere are the least
 * bad. A target that is missing already is never ejected: it would count twice.
 */
final class FloorPolicy {
    private FloorPolicy() {}

    /**
     * A target with enough evidence to be ejected.
     *
     * @param targetId the target
     * @param severity its evidence over the threshold; the greater, the worse
     */
    record Candidate(String targetId, double severity) {
        private static final Comparator<Candidate> WORST_FIRST =
                Comparator.comparingDouble(Candidate::severity)
                        .reversed()
                        .thenComparing(Candidate::targetId);
    }

    /** Returns the ids of the candidates that are ejected. */
    static Set<String> selectEjections(
            List<Candidate> candidates, ConfiguredTargets membership, int floorSlots) {
        Map<String, ConfiguredTargets.ConfiguredTarget> entries =
                membership.targets().stream()
                        .collect(
                                Collectors.toMap(
                                        ConfiguredTargets.ConfiguredTarget::targetId,
                                        Function.identity()));
        List<Candidate> ranked = new ArrayList<>(candidates);
        ranked.sort(Candidate.WORST_FIRST);
        Set<String> ejected = new HashSet<>();
        int eligibleSlots = membership.presentSlots();
        for (Candidate candidate : ranked) {
            ConfiguredTargets.ConfiguredTarget entry = entries.get(candidate.targetId());
            if (entry.isPresent() && eligibleSlots - entry.slots() >= floorSlots) {
                ejected.add(candidate.targetId());
                eligibleSlots -= entry.slots();
            }
        }
        return ejected;
    }

    /**
     * Counts the capacity that a decision leaves, and stops if an ejection broke the floor.
     *
     * <p>It counts from the verdicts that are handed out, not from the choice, so that a fault
     * anywhere in between is seen. Capacity below the floor by membership alone is no fault, but
     * then nothing may be ejected.
     *
     * @throws IllegalStateException if something is ejected and less than the floor is left
     */
    static int eligibleSlots(
            Map<String, EjectionVerdict> verdicts, ConfiguredTargets membership, int floorSlots) {
        int eligibleSlots = 0;
        int ejectedSlots = 0;
        for (ConfiguredTargets.ConfiguredTarget entry : membership.targets()) {
            if (!entry.isPresent()) {
                continue;
            }
            if (verdicts.get(entry.targetId()).isEligible()) {
                eligibleSlots += entry.slots();
            } else {
                ejectedSlots += entry.slots();
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
