package org.apricotgauge.event;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * A target names another limit than before, at the node beside it.
 *
 * @param service id of the service
 * @param target id of the target
 * @param perSecond requests a second that it takes from all nodes; null if it names no limit now
 */
public record TargetLimited(String service, String target, Double perSecond) implements EventBody {

    /** Checks the parts. */
    public TargetLimited {
        Checks.id("service", service);
        Checks.id("target", target);
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
