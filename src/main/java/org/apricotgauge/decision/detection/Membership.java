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
 * @param entries one for each configured target, each id once
 */
public record Membership(List<Entry> entries) {
    /** Copies the list and refuses a target that is listed twice. */
    public Membership {
        entries = List.copyOf(Checks.notNull("membership.entries", entries));
        Set<String> ids = new HashSet<>();
        for (Entry entry : entries) {
            if (!ids.add(entry.targetId())) {
                throw new IllegalArgumentException(
                        "membership.entries lists target " + entry.targetId() + " twice");
            }
        }
    }

    /** Returns the slots of all configured targets. */
    public int configuredSlots() {
        return entries.stream().mapToInt(Entry::slots).sum();
    }

    /** Returns the slots of the targets that take work in full. */
    public int presentSlots() {
        return entries.stream().filter(Entry::isPresent).mapToInt(Entry::slots).sum();
    }

    /**
     * One configured target.
     *
     * @param targetId its id
     * @param slots how many requests it runs at a time
     * @param presence whether it can take work
     */
    public record Entry(String targetId, int slots, TargetPresence presence) {
        /** Checks the parts. */
        public Entry {
            Checks.notNull("entry.targetId", targetId);
            Checks.inRange("entry.slots", slots, 1, Integer.MAX_VALUE);
            Checks.notNull("entry.presence", presence);
        }

        boolean isPresent() {
            return presence == TargetPresence.PRESENT;
        }
    }
}
