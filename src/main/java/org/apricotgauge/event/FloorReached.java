package org.apricotgauge.event;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * The floor of a service kept a target from being ejected, or brought one back.
 *
 * @param service id of the service
 * @param target id of the target that serves on
 * @param floorSlots capacity that must be left, in slots
 * @param leftSlots capacity that is left, in slots
 */
public record FloorReached(String service, String target, int floorSlots, int leftSlots)
        implements EventBody {

    /** Checks the parts. */
    public FloorReached {
        Checks.id("service", service);
        Checks.id("target", target);
        Checks.inRange("floorSlots", floorSlots, 0, Integer.MAX_VALUE);
        Checks.inRange("leftSlots", leftSlots, 0, Integer.MAX_VALUE);
    }

    @Override
    public Optional<String> aboutService() {
        return Optional.of(service);
    }

    @Override
    public Optional<String> aboutTarget() {
        return Optional.of(target);
    }
}
