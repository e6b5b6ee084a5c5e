package org.apricotgauge.decision.detection;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Checks;

/**
 * The configured targets of one service, as the deciding node knows them now.
 *
 * <pre>{@code
 * new Membership(List.of(new Membership.Entry("t1", 3, TargetPresence.PRESENT)));
 * }</pre>
 *
 * <p>Every configured target is listed, also a dead one: the floor is a share of all of them.
 *
 * @param targets one for each configured target, each id once
 */
public record ConfiguredTargets(List<ConfiguredTarget> targets) {
    /** Copies the list and refuses a target that is listed twice. */
    public ConfiguredTargets {
        targets = List.copyOf(Checks.notNull("membership.entries", targets));
        Set<String> ids = new HashSet<>();
        for (ConfiguredTarget entry : targets) {
            if (!ids.add(entry.targetId())) {
                throw new IllegalArgumentException(
                        "membership.entries lists target " + entry.targetId() + " twice");
            }
        }
    }

    /** Returns the slots of all configured targets. */
    public int configuredSlots() {
        return targets.stream().mapToInt(ConfiguredTarget::slots).sum();
    }

    /** Returns the slots of the targets that take work in full. */
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
     * @param slots how many requests it runs at a time
     * @param presence whether it can take work
     */
    public record ConfiguredTarget(String targetId, int slots, TargetPresence presence) {
        /** Checks the parts. */
        public ConfiguredTarget {
            Checks.notNull("entry.targetId", targetId);
            Checks.inRange("entry.slots", slots, 1, Integer.MAX_VALUE);
            Checks.notNull("entry.presence", presence);
        }

        boolean isPresent() {
            return presence == TargetPresence.PRESENT;
        }
    }
}
