package org.apricotgauge.event;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * A target is leaving and gets no new work from the node.
 *
 * @param service id of the service
 * @param target id of the target
 * @param source who told it: the target itself, a guard, a peer or the platform
 */
public record TargetLeaving(String service, String target, String source) implements EventBody {

    /** Checks the parts. */
    public TargetLeaving {
        Checks.id("service", service);
        Checks.id("target", target);
        source = EventText.bounded("source", source);
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
