package org.apricotgauge.decision.detection;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Checks;

/**
 * The configured targets of one service, as currently known to the deciding node.
 *
 * <pre>{@code
 * new ConfiguredTargets(
 *     List.of(new ConfiguredTargets.ConfiguredTarget("t1", 3, TargetPresence.PRESENT)));
 * }</pre>
 *
 * <p>Every configured target is listed, also a terminated one, as the floor is a share of all of
 * them.
 *
 * @param targets one for each configured target, each id once
 */
public record ConfiguredTargets(List<ConfiguredTarget> targets) {
    /** Copies the list and rejects a target that is listed twice. */
    public ConfiguredTargets {
        targets = List.copyOf(Checks.notNull("configuredTargets.targets", targets));
        Set<String> ids = new HashSet<>();
        for (ConfiguredTarget target : targets) {
            if (!ids.add(target.targetId())) {
                throw new IllegalArgumentException(
                        "configuredTargets.targets lists target " + target.targetId() + " twice");
            }
        }
    }

    /** Returns the slots of all configured targets. */
    public int configuredSlots() {
        return targets.stream().mapToInt(ConfiguredTarget::slots).sum();
    }

    /** Returns the slots of the targets that take full load. */
    public int presentSlots() {
        return targets.stream()
                .filter(ConfiguredTarget::isPresent)
                .mapToInt(ConfiguredTarget::slots)
                .sum();
    }

    /**
     * One configured target.
     *
     * @param targetId its id
     * @param slots number of requests that it runs at a time
     * @param presence whether it can take requests
     */
    public record ConfiguredTarget(String targetId, int slots, TargetPresence presence) {
        public ConfiguredTarget {
            Checks.notNull("configuredTarget.targetId", targetId);
            Checks.inRange("configuredTarget.slots", slots, 1, Integer.MAX_VALUE);
            Checks.notNull("configuredTarget.presence", presence);
        }

        boolean isPresent() {
            return presence == TargetPresence.PRESENT;
        }
    }
}
