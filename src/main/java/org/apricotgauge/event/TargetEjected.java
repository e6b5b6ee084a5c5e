package org.apricotgauge.event;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * A target was taken out of service at the node.
 *
 * @param service id of the service
 * @param target id of the target
 * @param evidence what decided it, in words
 */
public record TargetEjected(String service, String target, String evidence) implements EventBody {

    /** Checks the parts. */
    public TargetEjected {
        Checks.id("service", service);
        Checks.id("target", target);
        evidence = EventText.bounded("evidence", evidence);
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
